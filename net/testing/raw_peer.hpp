#pragma once

// The other end of a connection as raw bytes, for messages that no library would send.
// Its calls do not block: the test runs the loop between them.

#include "core/base/names.hpp"
#include "net/socket_address.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <utility>

namespace camphorrock::testing
{

class raw_peer
{
public:
    // Receives at most about `receive_window` bytes that were not read yet; zero: as many
    // as the operating system chooses.
    explicit raw_peer(const endpoint& to, int receive_window = 0)
    {
        const socket_address at = parse_address(to).value();
        fd_ = socket(at.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_window > 0)
        {
            setsockopt(
                fd_, SOL_SOCKET, SO_RCVBUF, &receive_window, sizeof receive_window);
        }
        is_connected_ = connect(fd_, at.raw(), at.size) == 0;
    }

    // Takes ownership of an accepted connection.
    explicit raw_peer(int fd) : fd_(fd) {}

    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    ~raw_peer()
    {
        close();
    }

    bool is_connected() const
    {
        return is_connected_;
    }

    void send(const std::string& bytes)
    {
        static_cast<void>(
            ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    }

    // Closes the sending side.
    void shut_down_sending()
    {
        shutdown(fd_, SHUT_WR);
    }

    void close()
    {
        if (fd_ >= 0)
        {
            ::close(std::exchange(fd_, -1));
        }
    }

    // Closes with a reset.
    void reset()
    {
        const linger zero_linger{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
        close();
    }

    // Returns the bytes that have arrived since the last call.
    std::string read_some()
    {
        std::string got;
        char buf[4096];
        for (;;)
        {
            const ssize_t n = recv(fd_, buf, sizeof buf, MSG_DONTWAIT);
            if (n <= 0)
            {
                is_ended_ = n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
                return got;
            }
            got.append(buf, static_cast<std::size_t>(n));
        }
    }

    // True once read_some() met the end of the connection.
    bool is_ended() const
    {
        return is_ended_;
    }

private:
    int fd_ = -1;
    bool is_connected_ = true;
    bool is_ended_ = false;
};

} // namespace camphorrock::testing
