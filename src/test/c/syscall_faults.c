/*
 * Makes a part of a process's system calls fail, in ways that Linux documents. Tests load this library with LD_PRELOAD.
 *
 *   SYSCALL_FAULTS_PERCENT  percentage of the calls below that fail (default 10)
 *   SYSCALL_FAULTS_SEED     seed of the random choice of calls that fail
 *   SYSCALL_FAULTS_AFTER    seconds after the start before the first call fails (default 0)
 *   SYSCALL_FAULTS_FILES    percentage of the calls on files below that fail, until SYSCALL_FAULTS_UNTIL (default 0)
 *   SYSCALL_FAULTS_UNTIL    seconds after the start until which calls on files fail (default 0)
 *
 * accept and accept4: ECONNABORTED, ENFILE, ENOBUFS, EMFILE. socket: ENFILE, ENOBUFS (network sockets only).
 * connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS. epoll_wait: EINTR. read, recv, write, writev on sockets: short counts.
 * Regular files other than the standard streams: write fails with ENOSPC or EIO, or is short; fsync and fdatasync: EIO.
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
static long file_percent;
static time_t files_until;

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
        file_percent = setting("SYSCALL_FAULTS_FILES", 0);
        files_until = now() + setting("SYSCALL_FAULTS_UNTIL", 0);
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
static const int FILES[] = {ENOSPC, EIO};
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

static int file_fails(int fd) {
    struct stat s;
    int before = errno;
    int is_file = fd > STDERR_FILENO && fstat(fd, &s) == 0 && S_ISREG(s.st_mode);
    errno = before;
    fails();
    return is_file && now() < files_until && (long) (draw() % 100) < file_percent;
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
    if (file_fails(fd)) {
        return draw() % 3 == 0 ? real(fd, from, length > 1 ? length / 2 : length) : fail_with(FILES, 2);
    }
    return real(fd, from, shortened(fd, length));
}

int fsync(int fd) {
    NEXT(fsync);
    return file_fails(fd) ? fail_with(FILES + 1, 1) : real(fd);
}

int fdatasync(int fd) {
    NEXT(fdatasync);
    return file_fails(fd) ? fail_with(FILES + 1, 1) : real(fd);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    NEXT(writev);
    if (count > 0 && is_socket(fd) && fails()) {
        return write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    return real(fd, parts, count);
}
