/*
 * Preloaded into a sender by tests: steps its wall clock, and fails its writes to the journal and its connects.
 *
 * The file that FAULTS_CONTROL names holds lines "name value", read at each call:
 *   clock-ms N        the wall clock is N ms ahead of the machine's
 *   write-errno N     writes to the journal fail with this errno
 *   write-room N      with write-errno: so many bytes are written before the first failure
 *   truncate-errno N  so does cutting the journal
 *   connect-errno N   no connection can be made
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static long room_used;

/* The value of a setting, 0 if it is not there. */
static long setting(const char *name) {
    const char *path = getenv("FAULTS_CONTROL");
    int saved = errno;
    long value = 0;
    FILE *file = path ? fopen(path, "re") : NULL;
    if (file) {
        char key[64];
        long number;
        while (fscanf(file, "%63s %ld", key, &number) == 2) {
            if (strcmp(key, name) == 0) {
                value = number;
            }
        }
        fclose(file);
    }
    errno = saved;
    return value;
}

static int is_journal(int fd) {
    char link[64];
    char path[4096];
    const char *state = getenv("GW_STATE");
    int saved = errno;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    errno = saved;
    if (length < 0 || !state) {
        return 0;
    }
    path[length] = 0;
    return strncmp(path, state, strlen(state)) == 0 && strstr(path + strlen(state), "/journal") != NULL;
}

/* How many bytes of a write go through; -1 with errno set if it fails. */
static ssize_t allowed(int fd, size_t count) {
    if (!is_journal(fd)) {
        return (ssize_t) count;
    }
    long error = setting("write-errno");
    if (error == 0) {
        room_used = 0;
        return (ssize_t) count;
    }
    long room = setting("write-room") - room_used;
    if (room <= 0) {
        errno = (int) error;
        return -1;
    }
    ssize_t part = (long) count < room ? (ssize_t) count : (ssize_t) room;
    room_used += part;
    return part;
}

ssize_t write(int fd, const void *bytes, size_t count) {
    static ssize_t (*real)(int, const void *, size_t);
    if (!real) {
        real = dlsym(RTLD_NEXT, "write");
    }
    ssize_t part = allowed(fd, count);
    return part < 0 ? -1 : real(fd, bytes, (size_t) part);
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t offset) {
    static ssize_t (*real)(int, const void *, size_t, off64_t);
    if (!real) {
        real = dlsym(RTLD_NEXT, "pwrite64");
    }
    ssize_t part = allowed(fd, count);
    return part < 0 ? -1 : real(fd, bytes, (size_t) part, offset);
}

int ftruncate64(int fd, off64_t length) {
    static int (*real)(int, off64_t);
    if (!real) {
        real = dlsym(RTLD_NEXT, "ftruncate64");
    }
    long error = is_journal(fd) ? setting("truncate-errno") : 0;
    if (error != 0) {
        errno = (int) error;
        return -1;
    }
    return real(fd, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real) {
        real = dlsym(RTLD_NEXT, "connect");
    }
    long error = setting("connect-errno");
    if (error != 0) {
        errno = (int) error;
        return -1;
    }
    return real(fd, address, length);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real) {
        real = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME) {
        long ms = setting("clock-ms");
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
