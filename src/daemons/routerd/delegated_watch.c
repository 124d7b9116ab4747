#include "daemons/routerd/delegated_watch.h"

#include "adapters/rpc/watch_message.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "core/watch_delegation.h"

#include <string.h>

/* A change that the source's own word of it did not reach is heard of this much later. */
#define ASK_MS 300
/* Pause between the first questions, when all instances start together. */
#define FIRST_ASK_MS 60
#define N_FIRST 10
/* One who has not asked for this long relies on somebody else. */
#define ASKER_MS 1000
/* Questions whose words are still waited for; older ones are not believed. */
#define N_QUESTIONS 8

typedef struct
{
  uint64_t number; /* 0 for none */
  uint64_t asked_ms;
} Question;

/* One who relies on this instance. */
typedef struct
{
  uint64_t heard_ms;
  uint64_t runners_revision;
} Asker;

struct _GgDelegatedWatch
{
  GgRouter *router;
  const GgMembership *membership;
  GgConfigWatcher *config_follower;
  GgRunnerWatcher *runner_follower;
  GgLoopTimer *timer;
  GgWatchDelegation choice;
  char *source; /* address of the instance that was asked last */
  uint64_t last_number;
  Question questions[N_QUESTIONS];
  gboolean is_fed;
  GHashTable *askers; /* address -> Asker */
};

static gboolean
is_own_address (const GgDelegatedWatch *self, const char *address)
{
  return strcmp (address, gg_membership_get_address (self->membership)) == 0;
}

static void
update_fed (GgDelegatedWatch *self)
{
  gboolean is_fed = gg_watch_delegation_is_active (&self->choice, gg_clock_boot_ms ());
  if (is_fed == self->is_fed)
    return;
  self->is_fed = is_fed;
  gg_event_log_add (GG_EVENT_NOTABLE, is_fed ? "feed_begun" : "feed_ended",
                    "source=%s words_in_a_row=%u", self->source != NULL ? self->source : "-",
                    self->choice.n_good);
  gg_config_watcher_set_delegated (self->config_follower, is_fed);
  gg_runner_watcher_set_delegated (self->runner_follower, is_fed);
}

static gboolean
is_source (const GgDelegatedWatch *self)
{
  const char *source = gg_membership_find_source (self->membership);
  return source != NULL && is_own_address (self, source) && !self->router->is_stopping
         && self->router->config_fresh_boot_ms != 0
         && gg_config_watcher_is_healthy (self->config_follower);
}

/* Takes the first changes after a revision, @p n_most at most. Changes of one revision stay
 * together.
 * @return whether all changes are taken. */
static gboolean
fill_changes (const GgDelegatedWatch *self, GgWatchReport *news, guint n_most)
{
  const GgRunnerChanges *changes = gg_runner_watcher_get_changes (self->runner_follower);
  g_array_set_size (news->changes, 0);
  news->runners_revision = news->changes_after;
  if (changes == NULL)
    return TRUE; /* being listed anew: there is nothing to say until that has ended */
  guint first = 0;
  int n = gg_runner_changes_find (changes, news->changes_after, &first);
  guint n_taken = MIN ((guint) MAX (n, 0), n_most);
  news->is_listing_needed = n < 0;
  news->runners_revision = gg_runner_watcher_get_revision (self->runner_follower);
  if (n > (int) n_taken)
    news->runners_revision = gg_runner_changes_get (changes, first + n_taken)->revision - 1;
  for (guint i = first; i < first + n_taken; i++)
    {
      const GgRunnerChange *known = gg_runner_changes_get (changes, i);
      GgRunnerChange change = { .revision = known->revision, .is_gone = known->is_gone };
      if (known->revision > news->runners_revision)
        break;
      gg_runner_record_copy (&change.record, &known->record);
      g_array_append_val (news->changes, change);
    }
  return n <= (int) n_taken;
}

/* Fills and sends one datagram with as many changes as fit.
 * @return whether all changes are in it. */
static gboolean
send_part (const GgDelegatedWatch *self, const char *address, GgWatchMessage *message)
{
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  size_t size_bytes = 0;
  gboolean is_all = TRUE;
  for (guint n_most = GG_WATCH_MESSAGE_MAX_CHANGES; size_bytes == 0; n_most /= 2)
    {
      if (message->news.word.is_source)
        is_all = fill_changes (self, &message->news, n_most);
      size_bytes = gg_watch_message_encode (message, bytes, sizeof bytes);
    }
  /* More changes of one revision than fit can only be listed. */
  if (!is_all && message->news.runners_revision <= message->news.changes_after)
    {
      message->news.is_listing_needed = TRUE;
      size_bytes = gg_watch_message_encode (message, bytes, sizeof bytes);
      is_all = TRUE;
    }
  gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
  return is_all;
}

/* Sends the state of this instance's view, with what changed after a revision. */
static void
send_news (const GgDelegatedWatch *self,
           const char *address,
           uint64_t number,
           uint64_t known_revision)
{
  GgWatchMessage message;
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_REPORT);
  GgWatchReport *news = &message.news;
  news->number = number;
  news->word.is_source = is_source (self);
  news->word.age_ms = gg_clock_boot_ms () - self->router->config_fresh_boot_ms;
  news->config_revision = gg_config_watcher_get_revision (self->config_follower);
  news->changes_after = known_revision;
  while (!send_part (self, address, &message))
    {
      news->number = 0;
      news->changes_after = news->runners_revision;
    }
  gg_watch_message_clear (&message);
}

static void
take_question (GgDelegatedWatch *self, const GgWatchRequest *question)
{
  Asker asker = { gg_clock_now_ms (), question->runners_revision };
  g_hash_table_replace (self->askers, g_strdup (question->reply_address),
                        g_memdup2 (&asker, sizeof asker));
  send_news (self, question->reply_address, question->number, question->runners_revision);
}

/* @return when the question was asked (CLOCK_BOOTTIME), 0 if it is not known any more. */
static uint64_t
end_question (GgDelegatedWatch *self, uint64_t number)
{
  Question *question = &self->questions[number % N_QUESTIONS];
  if (number == 0 || question->number != number)
    return 0;
  question->number = 0;
  return question->asked_ms;
}

static void
take_news (GgDelegatedWatch *self, const GgWatchReport *news)
{
  uint64_t asked_ms = end_question (self, news->number);
  if (asked_ms != 0)
    {
      gg_watch_delegation_note_status (&self->choice, &news->word, asked_ms);
      gg_config_watcher_take_proof (self->config_follower, news->config_revision,
                                    gg_watch_status_get_proven_ms (&news->word, asked_ms));
    }
  update_fed (self);
  if (!self->is_fed || !news->word.is_source)
    return;
  gg_config_watcher_take_revision (self->config_follower, news->config_revision);
  uint64_t known_revision = gg_runner_watcher_get_revision (self->runner_follower);
  if (known_revision < news->changes_after)
    return; /* a datagram before this one was lost; the next question tells what is known */
  if (news->is_listing_needed)
    gg_runner_watcher_list (self->runner_follower);
  else
    gg_runner_watcher_take_changes (self->runner_follower, news->changes, news->runners_revision);
}

gboolean
gg_delegated_watch_receive (GgDelegatedWatch *self, char *bytes, size_t size_bytes)
{
  GgWatchMessage message;
  if (!gg_watch_message_decode (bytes, size_bytes, &message))
    return FALSE;
  switch (message.kind)
    {
    case GG_WATCH_MESSAGE_REQUEST:
      take_question (self, &message.question);
      break;
    case GG_WATCH_MESSAGE_REPORT:
      take_news (self, &message.news);
      break;
    }
  gg_watch_message_clear (&message);
  return TRUE;
}

static void
ask (GgDelegatedWatch *self)
{
  Question *question = &self->questions[++self->last_number % N_QUESTIONS];
  *question = (Question){ self->last_number, gg_clock_boot_ms () };
  GgWatchMessage message;
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_REQUEST);
  message.question.number = question->number;
  message.question.reply_address = g_strdup (gg_membership_get_address (self->membership));
  message.question.runners_revision = gg_runner_watcher_get_revision (self->runner_follower);
  size_t size_bytes = gg_watch_message_encode (&message, bytes, sizeof bytes);
  gg_datagram_socket_send (self->router->peer_socket, self->source, bytes, size_bytes);
  gg_watch_message_clear (&message);
}

static gboolean
is_old_asker (void *address, void *asker, void *data)
{
  return ((const Asker *) asker)->heard_ms + ASKER_MS < *(const uint64_t *) data;
}

static void
on_timer (void *data)
{
  GgDelegatedWatch *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  const char *source = gg_membership_find_source (self->membership);
  if (g_strcmp0 (source, self->source) != 0)
    {
      /* Another source has to speak as soon as this one would have had to. */
      memset (self->questions, 0, sizeof self->questions);
      g_free (self->source);
      self->source = g_strdup (source);
    }
  if (source == NULL || is_own_address (self, source))
    gg_watch_delegation_reset (&self->choice);
  update_fed (self);
  if (source != NULL && !is_own_address (self, source))
    ask (self);
  g_hash_table_foreach_remove (self->askers, is_old_asker, &now_ms);
  gboolean is_starting = !self->is_fed && self->last_number < N_FIRST;
  gg_loop_timer_start (self->timer, is_starting ? FIRST_ASK_MS : ASK_MS);
}

gboolean
gg_delegated_watch_has_delegate (const GgDelegatedWatch *self)
{
  return self != NULL && gg_watch_delegation_has_delegate (&self->choice, gg_clock_boot_ms ());
}

void
gg_delegated_watch_notify (GgDelegatedWatch *self)
{
  if (self == NULL || !is_source (self))
    return;
  GHashTableIter iter;
  void *address;
  void *asker;
  g_hash_table_iter_init (&iter, self->askers);
  while (g_hash_table_iter_next (&iter, &address, &asker))
    send_news (self, address, 0, ((const Asker *) asker)->runners_revision);
}

GgDelegatedWatch *
gg_delegated_watch_create (const GgDelegatedWatchParams *params)
{
  GgDelegatedWatch *self = g_new0 (GgDelegatedWatch, 1);
  self->router = params->router;
  self->membership = params->membership;
  self->config_follower = params->config_follower;
  self->runner_follower = params->runner_follower;
  self->askers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->timer = gg_loop_timer_create (self->router->loop, on_timer, self);
  gg_loop_timer_start (self->timer, FIRST_ASK_MS);
  return self;
}

void
gg_delegated_watch_destroy (GgDelegatedWatch *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->askers);
  g_free (self->source);
  g_free (self);
}
