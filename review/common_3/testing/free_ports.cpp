// Prints N free ports of the loopback address: free_ports N
//
// They lie below the ports that the system gives to clients, so that no connection of a
// client takes one before its server listens there.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdio>
#include <cstdlib>
#include <random>

int main(int argc, char** argv)
{
    constexpr int first_port = 12000;
    constexpr int last_port = 31000;
    constexpr int max_tries = 10000;
    const int wanted = argc > 1 ? std::atoi(argv[1]) : 1;
    std::random_device random;
    int found = 0;
    for (int n = 0; n < max_tries && found < wanted; ++n)
    {
        const int port =
            first_port + static_cast<int>(random() % (last_port - first_port));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        // Kept open until the end, so that all ports differ.
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0)
        {
            ++found;
            std::printf("%d ", port);
        }
    }
    std::printf("\n");
    return found == wanted ? 0 : 2;
}
