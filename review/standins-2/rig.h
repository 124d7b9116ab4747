/* Stand-ins for the users' platform in one process: the store, runners and callers, as the pages
 * describe them, and the start and end of routers. Everything listens on loopback at free ports. */
#pragma once

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HOST "desk.example"

uint64_t now_ms (void);
void pause_ms (uint64_t ms);
/* Writes a line to record.txt, with the time since the start. */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Ends the process with 2: the case could not run. */
void give_up (const char *format, ...) __attribute__ ((noreturn, format (printf, 1, 2)));

/* Text that grows. */
typedef struct
{
  char *bytes;
  size_t length;
} Text;

void text_add (Text *text, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
void text_add_bytes (Text *text, const void *bytes, size_t n);
void text_clear (Text *text);

/* One HTTP message. */
typedef struct
{
  char start[4096]; /* the first line */
  char head[32768]; /* the fields, each ended by a line feed */
  char *body;       /* ended by a zero byte */
  size_t body_bytes;
  bool is_whole;
  int status; /* of an answer */
} Message;

/* Reads a message.
 * @param is_answer whether its body may end with the connection.
 * @return false if the connection ended before its head was complete. */
bool message_read (int fd, Message *message, bool is_answer, uint64_t timeout_ms);
void message_clear (Message *message);
/* Copies the value of a field; empty if there is none. */
void message_get (const Message *message, const char *name, char *value, size_t size);
/* Counts the fields of a name. */
int message_count (const Message *message, const char *name);
bool send_all (int fd, const void *bytes, size_t n);
int connect_to (const char *address);

/* The store. */
void store_start (void);
const char *store_get_address (void);
void store_put (const char *key, const char *value);
void store_delete (const char *key);
/* While it is down, calls are closed without an answer. */
void store_set_down (bool is_down);
/* Returns the values of a prefix as text, for the record. */
int store_count (const char *prefix);

/* A runner of a plain service. */
typedef struct Runner Runner;

typedef struct
{
  Runner *runner;
  int fd;
  Message request;
  char method[16];
  char target[1024];
  char attempt[128];
  int number; /* of the request on its connection, from 1 on */
} Arrival;

/* Answers a request; returns false to close the connection. */
typedef bool (*Behaviour) (Arrival *arrival);

struct Runner
{
  char id[64];
  char service[32];
  char zone[32];
  char address[32];
  int listener;
  int slots;
  uint64_t born;
  Behaviour behave;
  void *data;
  pthread_mutex_t mutex;
  volatile bool is_listening;
  volatile bool is_registered;
  int fds[512];
  int n_fds;
};

Runner *runner_start (const char *id, const char *service, const char *zone, Behaviour behave);
/* Ends the process of the runner, as by SIGKILL: its connections and its port close. */
void runner_kill (Runner *self);
/* Starts it again under the same id, at the same address. */
void runner_restart (Runner *self);
/* Notes that the request runs. */
void run (Arrival *arrival);
/* Sends an answer in full. @param fields lines that each end with CRLF. */
bool answer (Arrival *arrival, int status, const char *fields, const char *body);
/* Returns how often an attempt has run. */
int count_runs (const char *attempt);
int count_all_runs (void);

/* Routers. */
typedef struct
{
  char name[32];
  char callers[32];
  char ready[32];
  char peers[32];
  char metrics[32];
  char settings[256];
  char log[256];
  pid_t pid;
  int ended; /* status of wait(), -1 while it runs */
} Router;

Router *router_start (const char *name, const char *zone);
void router_start_again (Router *self);
/* Waits until it says that it is ready. */
bool router_wait_ready (Router *self, uint64_t timeout_ms);
bool router_is_alive (Router *self);
/* Sends a signal to the router, by its process id. */
void router_signal (Router *self, int number);

/* One call of a caller on a new connection, or on an open one.
 * @return false without a complete head. */
bool call (int fd,
           const char *method,
           const char *target,
           const char *fields,
           const char *body,
           Message *answer,
           uint64_t timeout_ms);
/* The same on a new connection, with an attempt id of its own, written to attempt_out. */
bool call_once (const Router *router,
                const char *method,
                const char *target,
                const char *fields,
                const char *body,
                Message *answer,
                char *attempt_out,
                uint64_t timeout_ms);
void new_attempt (char *attempt);

/* The configuration: bookings (once) and look-ups (may be repeated) at the service "desk".
 * @param tenants text of the list, with its brackets; NULL leaves it out.
 * @param health text of the member with a comma behind it, or empty. */
char *config_print (int version, const char *tenants, const char *health);

/* Reads the arguments, creates the folder and the record. */
void rig_start (int argc, char **argv);
bool rig_has_trouble (void);
/* Ends all processes that were started and removes the folder. */
void rig_end (void);
