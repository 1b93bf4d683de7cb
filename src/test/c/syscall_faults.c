/*
 * Lets a part of a process's system calls fail in ways that Linux documents, to be loaded with LD_PRELOAD by tests.
 *
 *   SYSCALL_FAULTS_PERCENT  of the calls below fail (default 10)
 *   SYSCALL_FAULTS_SEED     of the choice
 *   SYSCALL_FAULTS_AFTER    seconds after the start before the first fails (default 0)
 *
 * accept and accept4: ECONNABORTED, ENFILE, ENOBUFS, EMFILE. socket: ENFILE, ENOBUFS (network sockets only).
 * connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS. epoll_wait: EINTR. read, recv, write, writev on sockets: short.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static unsigned long state;
static long percent = -1;
static time_t begins;

static long setting(const char *name, long otherwise) {
    const char *text = getenv(name);
    return text ? atol(text) : otherwise;
}

static time_t now(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec;
}

static unsigned long draw(void) {
    unsigned long next = __atomic_add_fetch(&state, 0x9e3779b97f4a7c15UL, __ATOMIC_RELAXED);
    next = (next ^ (next >> 30)) * 0xbf58476d1ce4e5b9UL;
    next = (next ^ (next >> 27)) * 0x94d049bb133111ebUL;
    return next ^ (next >> 31);
}

static int fails(void) {
    if (percent < 0) {
        state = setting("SYSCALL_FAULTS_SEED", 1);
        begins = now() + setting("SYSCALL_FAULTS_AFTER", 0);
        percent = setting("SYSCALL_FAULTS_PERCENT", 10);
    }
    return now() >= begins && (long) (draw() % 100) < percent;
}

static int fail_with(const int *errors, int count) {
    errno = errors[draw() % count];
    return -1;
}

static int is_socket(int fd) {
    struct stat s;
    int before = errno;
    int result = fstat(fd, &s) == 0 && S_ISSOCK(s.st_mode);
    errno = before;
    return result;
}

#define NEXT(name) static __typeof__(&name) real; if (!real) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

static const int ACCEPT[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
static const int SOCKET[] = {ENFILE, ENOBUFS};
static const int CONNECT[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    NEXT(accept);
    return fails() ? fail_with(ACCEPT, 4) : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT(accept4);
    return fails() ? fail_with(ACCEPT, 4) : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    int network = domain == AF_INET || domain == AF_INET6;
    return network && fails() ? fail_with(SOCKET, 2) : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    NEXT(connect);
    int network = address->sa_family == AF_INET || address->sa_family == AF_INET6;
    return network && fails() ? fail_with(CONNECT, 3) : real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    NEXT(epoll_wait);
    if (fails()) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, most, timeout);
}

static size_t shortened(int fd, size_t length) {
    return length > 1 && is_socket(fd) && fails() ? 1 + draw() % (length < 100 ? length - 1 : 99) : length;
}

ssize_t read(int fd, void *to, size_t length) {
    NEXT(read);
    return real(fd, to, shortened(fd, length));
}

ssize_t recv(int fd, void *to, size_t length, int flags) {
    NEXT(recv);
    return real(fd, to, shortened(fd, length), flags);
}

ssize_t write(int fd, const void *from, size_t length) {
    NEXT(write);
    return real(fd, from, shortened(fd, length));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    NEXT(writev);
    if (count > 0 && is_socket(fd) && fails()) {
        return write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    return real(fd, parts, count);
}
