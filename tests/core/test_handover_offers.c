/* Guards the choice of the peer that takes over a request: requests of instances that are cut off
 * must not all go to one peer, nor to one that does not reach the service's runners either. */
#include "core/handover_offers.h"
#include "test_main.h"

#include <string.h>

#define NOW 10000
#define SERVICE 7
#define OTHER_SERVICE 8
#define RECEIVED_AGE_MS 100
#define EXPIRY_MS 700

static void
put (GgHandoverOffers *o, const char *name, const char *data_centre, uint32_t room, uint32_t load)
{
  GgPeerOffer offer = { .name = name,
                        .address = "127.0.0.1:7000",
                        .data_centre = data_centre,
                        .token = 5,
                        .room = room,
                        .load_permille = load };
  gg_handover_offers_put (o, &offer, FALSE, NOW);
  gg_handover_offers_put_service (o, name, SERVICE, RECEIVED_AGE_MS, NOW);
}

/* Returns the name of the chosen peer; an empty text for none. */
static const char *
choose_at (GgHandoverOffers *o, uint32_t service, const char *const *excluded, uint64_t now_ms)
{
  static GRand *rand;
  if (rand == NULL)
    rand = g_rand_new_with_seed (41);
  const GgPeerOffer *offer
      = gg_handover_offers_choose (o, service, excluded, g_rand_int (rand), now_ms);
  return offer != NULL ? offer->name : "";
}

static guint
count_chosen (GgHandoverOffers *o, const char *name, guint n)
{
  guint n_chosen = 0;
  for (guint i = 0; i < n; i++)
    n_chosen += strcmp (choose_at (o, SERVICE, NULL, NOW), name) == 0;
  return n_chosen;
}

static void
test_spread_by_load (void)
{
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 100, 0);
  put (o, "east-2", "east", 100, 0);
  put (o, "west-1", "west", 20, 800);
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < 100; i++)
    {
      void *name = (void *) choose_at (o, SERVICE, NULL, NOW);
      g_hash_table_insert (
          counts, name,
          GUINT_TO_POINTER (GPOINTER_TO_UINT (g_hash_table_lookup (counts, name)) + 1));
    }
  guint east_1 = GPOINTER_TO_UINT (g_hash_table_lookup (counts, "east-1"));
  guint east_2 = GPOINTER_TO_UINT (g_hash_table_lookup (counts, "east-2"));
  guint west_1 = GPOINTER_TO_UINT (g_hash_table_lookup (counts, "west-1"));
  CU_ASSERT_EQUAL (east_1 + east_2 + west_1, 100);
  CU_ASSERT_TRUE (east_1 >= 30);
  CU_ASSERT_TRUE (east_2 >= 30);
  CU_ASSERT_TRUE (west_1 <= 20);
  g_hash_table_unref (counts);
  gg_handover_offers_destroy (o);
}

static void
test_room (void)
{
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 3, 0);
  put (o, "east-2", "east", 0, 0);
  CU_ASSERT_EQUAL (count_chosen (o, "east-1", 10), 3);
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, NULL, NOW), "");
  put (o, "east-1", "east", 2, 0);
  CU_ASSERT_EQUAL (count_chosen (o, "east-1", 10), 2);
  gg_handover_offers_destroy (o);
}

/* Room of a peer that reaches nothing is no reason to stay in rotation. */
static void
test_last_room (void)
{
  GgPeerOffer unreached = { .name = "east-3", .address = "x", .data_centre = "east", .room = 9 };
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  CU_ASSERT_EQUAL (gg_handover_offers_get_last_room_ms (o), 0);
  put (o, "east-1", "east", 0, 1000);
  gg_handover_offers_put (o, &unreached, FALSE, NOW);
  CU_ASSERT_EQUAL (gg_handover_offers_get_last_room_ms (o), 0);
  gg_handover_offers_put_service (o, "east-3", SERVICE, GG_HANDOVER_MAX_RECEIVED_AGE_MS + 1, NOW);
  CU_ASSERT_EQUAL (gg_handover_offers_get_last_room_ms (o), 0);
  put (o, "east-2", "east", 1, 1000);
  CU_ASSERT_EQUAL (gg_handover_offers_get_last_room_ms (o), NOW);
  gg_handover_offers_destroy (o);
}

static void
test_excluded_and_avoided (void)
{
  static const char *const excluded[] = { "east-2", NULL };
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 100, 0);
  put (o, "east-2", "east", 100, 0);
  for (guint i = 0; i < 20; i++)
    CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, excluded, NOW), "east-1");
  gg_handover_offers_avoid (o, "east-1", NOW + 300);
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, excluded, NOW), "");
  put (o, "east-1", "east", 100, 0);
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, excluded, NOW + 299), "");
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, excluded, NOW + 300), "east-1");
  gg_handover_offers_destroy (o);
}

/* An avoided peer must not be chosen again early because its offer expired meanwhile. */
static void
test_avoided_beyond_expiry (void)
{
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 100, 0);
  gg_handover_offers_avoid (o, "east-1", NOW + EXPIRY_MS + 200);
  gg_handover_offers_expire (o, NOW + EXPIRY_MS + 100);
  GgPeerOffer offer = { .name = "east-1", .address = "x", .data_centre = "east", .room = 9 };
  gg_handover_offers_put (o, &offer, FALSE, NOW + EXPIRY_MS + 100);
  gg_handover_offers_put_service (o, "east-1", SERVICE, 0, NOW + EXPIRY_MS + 100);
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, NULL, NOW + EXPIRY_MS + 100), "");
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, NULL, NOW + EXPIRY_MS + 200), "east-1");
  gg_handover_offers_destroy (o);
}

static void
test_expiry (void)
{
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 100, 0);
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, NULL, NOW + EXPIRY_MS - 1), "east-1");
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, NULL, NOW + EXPIRY_MS), "");
  gg_handover_offers_destroy (o);
}

static void
test_service_not_reached (void)
{
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 100, 0);
  CU_ASSERT_STRING_EQUAL (choose_at (o, OTHER_SERVICE, NULL, NOW), "");
  gg_handover_offers_put_service (o, "east-1", OTHER_SERVICE, GG_HANDOVER_MAX_RECEIVED_AGE_MS - 100,
                                  NOW);
  CU_ASSERT_STRING_EQUAL (choose_at (o, OTHER_SERVICE, NULL, NOW + 100), "east-1");
  CU_ASSERT_STRING_EQUAL (choose_at (o, OTHER_SERVICE, NULL, NOW + 101), "");
  CU_ASSERT_STRING_EQUAL (choose_at (o, SERVICE, NULL, NOW + 101), "east-1");
  gg_handover_offers_destroy (o);
}

static void
test_own_data_centre_first (void)
{
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 1000, 0);
  put (o, "north-1", "north", 1000, 150);
  CU_ASSERT_EQUAL (count_chosen (o, "north-1", 20), 20);
  put (o, "north-1", "north", 1000, 500);
  CU_ASSERT_EQUAL (count_chosen (o, "east-1", 20), 20);
  gg_handover_offers_destroy (o);
}

/* Handed-over requests count as load before the peer's next answer, so that they spill over. */
static void
test_spill_over (void)
{
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  put (o, "east-1", "east", 100, 0);
  put (o, "north-1", "north", 100, 0);
  guint n = count_chosen (o, "north-1", 100);
  CU_ASSERT_TRUE (n > 50);
  CU_ASSERT_TRUE (n < 70);
  gg_handover_offers_destroy (o);
}

static void
count_offer (void *data, const GgPeerOffer *offer)
{
  guint *n = data;
  *n += strcmp (offer->name, "east-1") == 0 ? 1 : 10;
}

static void
check_age (void *data, uint32_t service_hash, uint64_t received_age_ms)
{
  guint *n = data;
  CU_ASSERT_EQUAL (service_hash, SERVICE);
  CU_ASSERT_EQUAL (received_age_ms, RECEIVED_AGE_MS + 50);
  *n += 1;
}

/* Relayed offers must not be passed on again, or they would never expire. */
static void
test_relayed (void)
{
  guint n_offers = 0;
  guint n_services = 0;
  GgHandoverOffers *o = gg_handover_offers_create ("north");
  GgPeerOffer relayed = { .name = "west-1", .address = "x", .data_centre = "west", .room = 9 };
  put (o, "east-1", "east", 100, 0);
  gg_handover_offers_put (o, &relayed, TRUE, NOW);
  gg_handover_offers_foreach_direct (o, NOW, count_offer, &n_offers);
  CU_ASSERT_EQUAL (n_offers, 1);
  gg_handover_offers_foreach_direct (o, NOW + EXPIRY_MS, count_offer, &n_offers);
  CU_ASSERT_EQUAL (n_offers, 1);
  gg_handover_offers_foreach_service (o, "east-1", NOW + 50, check_age, &n_services);
  CU_ASSERT_EQUAL (n_services, 1);
  gg_handover_offers_destroy (o);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "spread by load", test_spread_by_load },
    { "room", test_room },
    { "last room", test_last_room },
    { "excluded and avoided", test_excluded_and_avoided },
    { "avoided beyond expiry", test_avoided_beyond_expiry },
    { "expiry", test_expiry },
    { "service not reached", test_service_not_reached },
    { "own data centre first", test_own_data_centre_first },
    { "spill over", test_spill_over },
    { "relayed", test_relayed },
  };
  return gg_test_run ("handover offers", cases, G_N_ELEMENTS (cases));
}
