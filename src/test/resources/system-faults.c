/*
 * A library that tests preload into a sender to step its wall clock and to make its system calls fail.
 *
 * The environment variable FAULTS_CONTROL names a file of lines "name value", which apply from the next call on:
 *   clock-ms N          the wall clock is N ms ahead of the machine's
 *   write-errno N       writes to the journal fail with this errno
 *   write-room N        with write-errno: this many bytes are written to the journal before the first failure
 *   truncate-errno N    truncating the journal fails with this errno
 *   open-errno N        opening a file of the state folder or the configuration fails
 *   rename-errno N      renaming a file of the state folder fails
 *   socket-errno N      creating a socket, an epoll descriptor or an event descriptor fails
 *   connect-errno N     opening a connection fails
 *   accept-errno N      accepting a connection fails
 *   wait-errno N        waiting for events of sockets (epoll_wait) fails
 *   receive-errno N     reads from sockets fail
 *   receive-most N      a read from a socket returns at most this many bytes
 *   send-errno N        writes to TCP sockets fail
 *   send-most N         a write to a socket transfers at most this many bytes
 *   send-room N         with send-errno: this many bytes are written to each socket before its first failure
 *   port N              receive and send faults apply only to sockets with this port at either end
 *   CALL-every N        only the first of these calls and every Nth after it fail; CALL is a word before -errno
 *
 * The environment variable FAULTS_MET names a file with one 64-bit counter of injected failures for each kind of
 * fault, in the order of enum fault.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <sys/un.h>
#include <time.h>
#include <unistd.h>

enum fault { WRITE, TRUNCATE, OPEN, RENAME, SOCKET, CONNECT, ACCEPT, WAIT, RECEIVE, SEND, FAULTS };
static const char *const fault_names[FAULTS] = {
    "write", "truncate", "open", "rename", "socket", "connect", "accept", "wait", "receive", "send"};

struct settings {
    long clock_ms;
    long error[FAULTS];
    long every[FAULTS];
    long write_room, receive_most, send_most, send_room, port;
};

#define RING_SIZE 8
#define MAX_DESCRIPTORS 65536

/* A ring of settings, so that a call that still reads settings while new ones are loaded sees consistent values. */
static struct settings settings_ring[RING_SIZE];
static volatile int newest_index;
static pthread_mutex_t load_lock = PTHREAD_MUTEX_INITIALIZER;
static struct stat loaded_file;
/* Calls of each kind since the fault was set. */
static uint64_t call_counts[FAULTS];
static long journal_bytes_written;
/* Bytes written to each socket while send faults were set, by descriptor. */
static long bytes_sent[MAX_DESCRIPTORS];

/* Declares the pointer "real" to the function of this name that the library replaces. */
#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) { \
        real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name); \
    }

static void apply_setting(struct settings *settings, const char *key, long value) {
    if (strcmp(key, "clock-ms") == 0) settings->clock_ms = value;
    else if (strcmp(key, "write-room") == 0) settings->write_room = value;
    else if (strcmp(key, "receive-most") == 0) settings->receive_most = value;
    else if (strcmp(key, "send-most") == 0) settings->send_most = value;
    else if (strcmp(key, "send-room") == 0) settings->send_room = value;
    else if (strcmp(key, "port") == 0) settings->port = value;
    for (int i = 0; i < FAULTS; i++) {
        size_t length = strlen(fault_names[i]);
        if (strncmp(key, fault_names[i], length) == 0) {
            if (strcmp(key + length, "-errno") == 0) settings->error[i] = value;
            if (strcmp(key + length, "-every") == 0) settings->every[i] = value;
        }
    }
}

static void load_settings(const char *path) {
    char text[4096];
    int fd = (int) syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return;
    }
    ssize_t length = syscall(SYS_read, fd, text, sizeof text - 1);
    syscall(SYS_close, fd);
    if (length < 0) {
        return;
    }
    text[length] = 0;
    int next = (newest_index + 1) % RING_SIZE;
    memset(&settings_ring[next], 0, sizeof settings_ring[next]);
    char *rest = text;
    for (char *line = strsep(&rest, "\n"); line; line = strsep(&rest, "\n")) {
        char key[64];
        long value;
        if (sscanf(line, "%63s %ld", key, &value) == 2) {
            apply_setting(&settings_ring[next], key, value);
        }
    }
    newest_index = next;
}

/* Returns the current settings, and loads them first if the file has changed. */
static const struct settings *current_settings(void) {
    const char *path = getenv("FAULTS_CONTROL");
    int saved = errno;
    struct stat file;
    if (path && fstatat(AT_FDCWD, path, &file, 0) == 0
            && (file.st_ino != loaded_file.st_ino || file.st_mtim.tv_nsec != loaded_file.st_mtim.tv_nsec
                || file.st_mtim.tv_sec != loaded_file.st_mtim.tv_sec)) {
        pthread_mutex_lock(&load_lock);
        load_settings(path);
        loaded_file = file;
        pthread_mutex_unlock(&load_lock);
    }
    errno = saved;
    return &settings_ring[newest_index];
}

/* Adds a failure to the counter in the file that FAULTS_MET names. */
static void count_failure(enum fault fault) {
    static uint64_t *counters;
    if (!counters) {
        const char *path = getenv("FAULTS_MET");
        int fd = path ? (int) syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC) : -1;
        if (fd < 0) {
            return;
        }
        void *mapped = mmap(NULL, FAULTS * sizeof(uint64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        syscall(SYS_close, fd);
        if (mapped == MAP_FAILED) {
            return;
        }
        counters = mapped;
    }
    __atomic_add_fetch(&counters[fault], 1, __ATOMIC_RELAXED);
}

/* Returns whether this call is to fail, in which case errno is set and the failure is counted. */
static int should_fail(enum fault fault) {
    const struct settings *settings = current_settings();
    if (settings->error[fault] == 0) {
        call_counts[fault] = 0;
        return 0;
    }
    uint64_t call = __atomic_fetch_add(&call_counts[fault], 1, __ATOMIC_RELAXED);
    if (settings->every[fault] > 1 && call % (uint64_t) settings->every[fault] != 0) {
        return 0;
    }
    count_failure(fault);
    errno = (int) settings->error[fault];
    return 1;
}

// ---- files ----

static int is_config(const char *path) {
    const char *config = getenv("GW_CONFIG");
    return config && strcmp(path, config) == 0;
}

static int is_in_state(const char *path) {
    const char *state = getenv("GW_STATE");
    return state && strncmp(path, state, strlen(state)) == 0;
}

static int is_journal(int fd) {
    char link[64];
    char path[4096];
    int saved = errno;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    errno = saved;
    if (length < 0) {
        return 0;
    }
    path[length] = 0;
    return is_in_state(path) && strstr(path, "/journal") != NULL;
}

/* Returns how many bytes of a write to the journal are written, or -1 with errno set if it fails. */
static ssize_t journal_write_allowance(size_t count) {
    const struct settings *settings = current_settings();
    if (settings->error[WRITE] == 0) {
        journal_bytes_written = 0;
        return (ssize_t) count;
    }
    long room = settings->write_room - journal_bytes_written;
    if (room <= 0) {
        return should_fail(WRITE) ? -1 : (ssize_t) count;
    }
    ssize_t part = (long) count < room ? (ssize_t) count : (ssize_t) room;
    journal_bytes_written += part;
    return part;
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t offset) {
    REAL(pwrite64)
    ssize_t part = is_journal(fd) ? journal_write_allowance(count) : (ssize_t) count;
    return part < 0 ? -1 : real(fd, bytes, (size_t) part, offset);
}

int ftruncate64(int fd, off64_t length) {
    REAL(ftruncate64)
    return is_journal(fd) && should_fail(TRUNCATE) ? -1 : real(fd, length);
}

int open64(const char *path, int flags, ...) {
    REAL(open64)
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    return (is_in_state(path) || is_config(path)) && should_fail(OPEN) ? -1 : real(path, flags, mode);
}

int rename(const char *from, const char *to) {
    REAL(rename)
    return is_in_state(to) && should_fail(RENAME) ? -1 : real(from, to);
}

// ---- sockets ----

/* Returns the port of an IP address, 0 for a Unix socket and -1 for any other address. */
static int port_of(const struct sockaddr_in *address) {
    return address->sin_family == AF_INET ? ntohs(address->sin_port)
            : address->sin_family == AF_INET6 ? ntohs(((const struct sockaddr_in6 *) address)->sin6_port)
            : address->sin_family == AF_UNIX ? 0 : -1;
}

/*
 * Returns whether receive and send faults apply to this socket. The Unix socket between two processes of a sender has
 * port 0 here, so it is affected only if no port is set.
 */
static int is_affected(int fd) {
    const struct settings *settings = current_settings();
    int saved = errno;
    struct sockaddr_un local, remote;
    socklen_t local_length = sizeof local, remote_length = sizeof remote;
    int affected = getsockname(fd, (struct sockaddr *) &local, &local_length) == 0
            && getpeername(fd, (struct sockaddr *) &remote, &remote_length) == 0
            && port_of((struct sockaddr_in *) &local) >= 0
            && (settings->port == 0 || port_of((struct sockaddr_in *) &local) == settings->port
                || port_of((struct sockaddr_in *) &remote) == settings->port);
    errno = saved;
    return affected;
}

static int has_receive_faults(void) {
    const struct settings *settings = current_settings();
    return settings->error[RECEIVE] != 0 || settings->receive_most != 0;
}

static int has_send_faults(void) {
    const struct settings *settings = current_settings();
    return settings->error[SEND] != 0 || settings->send_most != 0;
}

/* Returns how many bytes a read may transfer, or -1 with errno set if it fails. */
static ssize_t receive_allowance(size_t count) {
    long limit = current_settings()->receive_most;
    if (should_fail(RECEIVE)) {
        return -1;
    }
    return limit > 0 && (size_t) limit < count ? limit : (ssize_t) count;
}

static int is_tcp(int fd) {
    struct sockaddr_un local;
    socklen_t length = sizeof local;
    return getsockname(fd, (struct sockaddr *) &local, &length) == 0 && port_of((struct sockaddr_in *) &local) > 0;
}

/* Returns how many bytes a write may transfer, or -1 with errno set if it fails. */
static ssize_t send_allowance(int fd, size_t count) {
    const struct settings *settings = current_settings();
    size_t limit = settings->send_most > 0 ? (size_t) settings->send_most : count;
    if (settings->error[SEND] != 0 && is_tcp(fd)) {
        long room = fd < MAX_DESCRIPTORS ? settings->send_room - bytes_sent[fd] : 0;
        if (room <= 0) {
            if (should_fail(SEND)) {
                return -1;
            }
        } else if ((size_t) room < limit) {
            limit = (size_t) room;
        }
    }
    size_t part = limit < count ? limit : count;
    if (fd < MAX_DESCRIPTORS) {
        bytes_sent[fd] += (long) part;
    }
    return (ssize_t) part;
}

ssize_t read(int fd, void *bytes, size_t count) {
    REAL(read)
    if (has_receive_faults() && is_affected(fd)) {
        ssize_t part = receive_allowance(count);
        return part < 0 ? -1 : real(fd, bytes, (size_t) part);
    }
    return real(fd, bytes, count);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv)
    if (has_receive_faults() && is_affected(fd) && count > 0) {
        ssize_t part = receive_allowance(parts[0].iov_len);
        struct iovec first = {parts[0].iov_base, (size_t) part};
        return part < 0 ? -1 : real(fd, &first, 1);
    }
    return real(fd, parts, count);
}

ssize_t write(int fd, const void *bytes, size_t count) {
    REAL(write)
    if (has_send_faults() && is_affected(fd)) {
        ssize_t part = send_allowance(fd, count);
        return part < 0 ? -1 : real(fd, bytes, (size_t) part);
    }
    return real(fd, bytes, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev)
    if (has_send_faults() && is_affected(fd) && count > 0) {
        ssize_t part = send_allowance(fd, parts[0].iov_len);
        struct iovec first = {parts[0].iov_base, (size_t) part};
        return part < 0 ? -1 : real(fd, &first, 1);
    }
    return real(fd, parts, count);
}

int socket(int domain, int type, int protocol) {
    REAL(socket)
    int fd = should_fail(SOCKET) ? -1 : real(domain, type, protocol);
    if (fd >= 0 && fd < MAX_DESCRIPTORS) {
        bytes_sent[fd] = 0;
    }
    return fd;
}

int epoll_create1(int flags) {
    REAL(epoll_create1)
    return should_fail(SOCKET) ? -1 : real(flags);
}

int eventfd(unsigned int value, int flags) {
    REAL(eventfd)
    return should_fail(SOCKET) ? -1 : real(value, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept)
    int accepted = should_fail(ACCEPT) ? -1 : real(fd, address, length);
    if (accepted >= 0 && accepted < MAX_DESCRIPTORS) {
        bytes_sent[accepted] = 0;
    }
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect)
    return should_fail(CONNECT) ? -1 : real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int limit, int timeout) {
    REAL(epoll_wait)
    return should_fail(WAIT) ? -1 : real(fd, events, limit, timeout);
}

// ---- the clock ----

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime)
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME) {
        long ms = current_settings()->clock_ms;
        time->tv_sec += ms / 1000;
        time->tv_nsec += ms % 1000 * 1000000;
        if (time->tv_nsec < 0) {
            time->tv_nsec += 1000000000;
            time->tv_sec--;
        } else if (time->tv_nsec >= 1000000000) {
            time->tv_nsec -= 1000000000;
            time->tv_sec++;
        }
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    struct timespec now;
    (void) zone;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}
