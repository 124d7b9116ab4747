/* A small deployment on loopback in one process: the platform's metadata store, runners and
 * requesters as stand-ins, and the project's routers as child processes. Single-threaded. */
#pragma once

#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define WORLD_HOST "desk.example"
#define MAX_ROUTERS 8

/* A connection of a stand-in. */
typedef struct Conn Conn;
struct Conn
{
  int fd; /* -1 once closed */
  GString *in;
  GString *out;
  gboolean is_connecting;
  gboolean is_reading_paused;
  gboolean closes_when_sent;
  void (*on_data) (Conn *self);
  void (*on_end) (Conn *self); /* the peer closed, reset or refused; may be NULL */
  void *data;
  int number;      /* what the case needs */
  uint64_t serial; /* unique, so that a late timer can tell whether the connection still lives */
  gboolean is_client;
  /* The address that a client has connected to. */
  char peer[24];
  /* The id of the last request that a client sent here; empty if there is none. */
  char sent[64];
  gboolean is_answered;
};

/* A parsed HTTP message. */
typedef struct
{
  char *first; /* start line */
  GPtrArray *names;
  GPtrArray *values;
  GString *body;
} Message;

uint64_t now_ms (void);
extern FILE *record_file;
/* Writes a line with the time since the start to the case's record. */
void record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Prints a message and ends the program and its children with 2: the case could not run. */
void give_up (const char *format, ...) G_GNUC_PRINTF (1, 2) G_GNUC_NORETURN;

/* Listens on a free port of 127.0.0.1.
 * @return the port. */
int listen_at (void (*on_accept) (Conn *conn), void *data, int number);
/* Listens again at a port, as a process that is started again does. */
void listen_again_at (int port, void (*on_accept) (Conn *conn), void *data, int number);
/* Ends all listeners with a number, except the store's. */
void stop_listening (int number);
/* Returns a port that was free a moment ago. */
int find_free_port (const char *ip);
Conn *connect_to (const char *ip, int port, void (*on_data) (Conn *), void (*on_end) (Conn *));
Conn *find_conn (uint64_t serial);
void conn_write (Conn *self, const char *format, ...) G_GNUC_PRINTF (2, 3);
void conn_close (Conn *self);
void conn_reset (Conn *self);
void foreach_conn (gboolean (*is_meant) (const Conn *conn), void (*func) (Conn *conn));

void at_ms (uint64_t due_ms, void (*func) (void *data), void *data);
void run_until_ms (uint64_t end_ms);

/* Whether space between the name of a field and its colon is ignored, as http_parser does in its
 * usual build, and with it the project's own servers. */
extern gboolean trims_names;
/* Takes the next complete message from the input of a connection; NULL if there is none. */
Message *take_message (GString *in);
void message_free (Message *self);
/* Returns the first value of a field, or NULL. */
const char *message_get (const Message *self, const char *name);
int message_get_status (const Message *self);

/* The store. Each router has a port of its own, so that the store can tell them apart. */
void store_start (int n_ports);
void store_put (const char *key, const char *value);
void store_delete (const char *key);
/* If set, returns the port at which a router reaches a runner whose entry names "@NUMBER" as its
 * address. Each router then is in a zone of its own, so that it reads the entries itself. */
extern int (*port_of_runner) (int router, int runner);
/* Makes the store answer 503 to one router, as PROTOCOL.md allows; or serve it again. */
void store_turn_away (int router, gboolean is_turned_away);
gboolean store_has_prefix (const char *prefix);

typedef struct
{
  char *name;
  char ip[16];
  int callers;
  int ready;
  pid_t pid;
} Router;
extern Router routers[MAX_ROUTERS];
extern int n_routers;

/* Starts a router with settings rendered from deploy/settings.ini.in.
 * @param name its name.
 * @param zone its zone. */
void start_router (const char *name, const char *zone);
/* Waits until all routers report ready. */
void await_ready (void);
/* Ends all children that were started. */
void stop_routers (void);

/* Whether the case runs with its disruption. */
gboolean has_trouble (void);
/* Opens the record, which argv[1] names. What clients send and get is written to it. */
void world_init (int argc, char **argv);
