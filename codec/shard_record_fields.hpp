#pragma once

// The JSON names of the shard record's fields; see json_reader.hpp.

#include "codec/json_reader.hpp"
#include "core/ownership/shard_record.hpp"

namespace camphorrock
{

template<class Fields, is_type<partition_entry> Entry>
void describe(Fields& fields, Entry& it)
{
    fields.required("range", it.range);
    fields.required("owner", it.owner);
    fields.required("since", it.since);
    fields.optional("moving_to", it.moving_to);
}

template<class Fields, is_type<server_entry> Entry>
void describe(Fields& fields, Entry& it)
{
    fields.required("id", it.id);
    fields.required("address", it.address);
    fields.required("checks_epoch", it.checks_epoch);
    fields.required("scheduler", it.scheduler);
    fields.required("scheduler_peer", it.scheduler_peer);
    fields.required("since", it.since);
}

template<class Fields, is_type<voter_entry> Entry>
void describe(Fields& fields, Entry& it)
{
    fields.required("id", it.id);
    fields.required("peer", it.peer);
}

template<class Fields, is_type<shard_record> Record>
void describe(Fields& fields, Record& it)
{
    fields.required("shard", it.shard);
    fields.required("version", it.version);
    fields.required("assigner", it.assigner);
    fields.required("partitions", it.partitions);
    fields.required("servers", it.servers);
    fields.required("voters", it.voters);
    fields.optional("previous_voters", it.previous_voters);
}

} // namespace camphorrock
