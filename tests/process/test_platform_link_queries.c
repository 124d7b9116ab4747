/* Guards queries for links to runners: a program that is no instance must not learn the token with
 * which requests are handed over, and damaged datagrams must not end the process. */
#include "adapters/rpc/link_message.h"
#include "base/clock.h"
#include "prove.h"
#include "site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define N_ROUTERS 3
#define ASKED 0
#define REPLACED 1
#define ANSWER_TIMEOUT_MS 1000
#define SILENCE_MS 500
#define N_DAMAGED 500

static Site *site;

static char *
read_peer_address (guint router)
{
  GKeyFile *file = g_key_file_new ();
  char *address = NULL;
  if (g_key_file_load_from_file (file, site->routers[router].settings_path, G_KEY_FILE_NONE, NULL))
    address = g_key_file_get_string (file, "listen", "peers", NULL);
  g_key_file_unref (file);
  return address;
}

static struct sockaddr_in
parse_address (const char *address)
{
  char **parts = g_strsplit (address, ":", 2);
  struct sockaddr_in parsed
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) strtoul (parts[1], NULL, 10)) };
  inet_pton (AF_INET, parts[0], &parsed.sin_addr);
  g_strfreev (parts);
  return parsed;
}

/* @param address to bind; NULL for any free one. */
static int
open_socket (const char *address)
{
  struct sockaddr_in local = parse_address (address != NULL ? address : "127.0.0.1:0");
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  if (bind (fd, (const struct sockaddr *) &local, sizeof local) == 0)
    return fd;
  close (fd);
  return -1;
}

static char *
get_address (int fd)
{
  struct sockaddr_in local;
  socklen_t n = sizeof local;
  char text[INET_ADDRSTRLEN] = "";
  getsockname (fd, (struct sockaddr *) &local, &n);
  inet_ntop (AF_INET, &local.sin_addr, text, sizeof text);
  return g_strdup_printf ("%s:%u", text, ntohs (local.sin_port));
}

static void
send_bytes (int fd, const char *bytes, size_t size_bytes)
{
  char *address = read_peer_address (ASKED);
  struct sockaddr_in router = parse_address (address);
  sendto (fd, bytes, size_bytes, 0, (const struct sockaddr *) &router, sizeof router);
  g_free (address);
}

static size_t
encode_query (const char *reply_address, uint64_t number, char bytes[GG_LINK_MESSAGE_MAX_BYTES])
{
  GgLinkMessage query;
  gg_link_message_init (&query, GG_LINK_MESSAGE_QUERY);
  query.name = g_strdup (site->routers[REPLACED].name);
  query.address = g_strdup (reply_address);
  query.data_centre = g_strdup ("north");
  query.number = number;
  size_t size_bytes = gg_link_message_encode (&query, bytes, GG_LINK_MESSAGE_MAX_BYTES);
  gg_link_message_clear (&query);
  return size_bytes;
}

/* Waits for an answer, skipping other datagrams. */
static gboolean
receive_answer (int fd, uint64_t timeout_ms, GgLinkMessage *answer_out)
{
  uint64_t end_ms = gg_clock_now_ms () + timeout_ms;
  while (gg_clock_now_ms () < end_ms)
    {
      char bytes[2 * GG_LINK_MESSAGE_MAX_BYTES];
      ssize_t n = recv (fd, bytes, sizeof bytes, 0);
      if (n <= 0)
        g_usleep (5000);
      else if (gg_link_message_decode (bytes, (size_t) n, answer_out))
        return TRUE;
    }
  return FALSE;
}

/* The address of a registered instance whose process has died, so that the test can bind it. */
static void
run_registered (GgProof *proof)
{
  char bytes[GG_LINK_MESSAGE_MAX_BYTES];
  char *address = read_peer_address (REPLACED);
  gg_process_signal (site->routers[REPLACED].process, SIGKILL);
  gg_process_wait_exit (site->routers[REPLACED].process, ANSWER_TIMEOUT_MS);
  int fd = open_socket (address);
  int stranger = open_socket (NULL);
  GgLinkMessage answer;
  /* The answer goes to the address that the query names, not to its sender. */
  send_bytes (stranger, bytes, encode_query (address, 77, bytes));
  if (gg_proof_check (proof, fd >= 0 && receive_answer (fd, ANSWER_TIMEOUT_MS, &answer)))
    {
      char *asked = read_peer_address (ASKED);
      gg_proof_check (proof, answer.kind == GG_LINK_MESSAGE_ANSWER && answer.number == 77);
      gg_proof_check (proof, strcmp (answer.name, site->routers[ASKED].name) == 0);
      gg_proof_check (proof, strcmp (answer.address, asked) == 0);
      gg_proof_check (proof, answer.token != 0);
      gg_link_message_clear (&answer);
      g_free (asked);
    }
  gg_proof_check (proof, !receive_answer (stranger, SILENCE_MS, &answer));
  close (stranger);
  close (fd);
  g_free (address);
  site_start_router (site, REPLACED);
}

static void
run_stranger (GgProof *proof)
{
  char bytes[GG_LINK_MESSAGE_MAX_BYTES];
  int fd = open_socket (NULL);
  char *address = get_address (fd);
  GgLinkMessage answer;
  send_bytes (fd, bytes, encode_query (address, 78, bytes));
  gg_proof_check (proof, !receive_answer (fd, SILENCE_MS, &answer));
  g_free (address);
  close (fd);
}

static void
run_damaged (GgProof *proof)
{
  char bytes[GG_LINK_MESSAGE_MAX_BYTES];
  GRand *rand = g_rand_new_with_seed (41);
  int fd = open_socket (NULL);
  size_t n = encode_query ("127.0.0.1:1", 79, bytes);
  for (guint i = 0; i < N_DAMAGED; i++)
    {
      char damaged[GG_LINK_MESSAGE_MAX_BYTES];
      memcpy (damaged, bytes, n);
      damaged[g_rand_int_range (rand, 0, (gint32) n)] = (char) g_rand_int (rand);
      send_bytes (fd, damaged, (size_t) g_rand_int_range (rand, 1, (gint32) n + 1));
    }
  gg_proof_check (proof, site_is_ready (site, ASKED));
  g_rand_free (rand);
  close (fd);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "own-answer", "platform-link-query-registered", run_registered },
    { "own-answer", "platform-link-query-stranger", run_stranger },
    { "own-answer", "platform-link-query-damaged", run_damaged },
  };
  site = site_create (N_ROUTERS);
  if (site == NULL)
    return 1;
  int status = gg_prove_main ("platform link queries", cases, G_N_ELEMENTS (cases), argc, argv);
  site_destroy (site);
  return status;
}
