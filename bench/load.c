#include "bench/load.h"

#include "common/clock.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define THREADS 48
#define US_PER_S 1000000

struct worker
{
  struct load *load;
  uint32_t index;
  int64_t start_us;
  pthread_t thread;
};

static pthread_mutex_t results_lock = PTHREAD_MUTEX_INITIALIZER;

static size_t
discard_body (char *bytes, size_t size, size_t count, void *data)
{
  (void) bytes;
  (void) data;
  return size * count;
}

static void
sleep_until_us (int64_t when_us)
{
  struct timespec ts = { when_us / US_PER_S, when_us % US_PER_S * 1000 };

  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL);
}

static CURL *
new_easy (const struct load *load, struct curl_slist **headers)
{
  CURL *easy = curl_easy_init ();
  char line[256];

  if (load->key)
    {
      snprintf (line, sizeof line, "Authorization: Bearer %s", load->key);
      *headers = curl_slist_append (*headers, line);
    }
  curl_easy_setopt (easy, CURLOPT_URL, load->url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, *headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 20000L);
  if (load->body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, load->body);
  return easy;
}

static void *
run_worker (void *data)
{
  struct worker *worker = data;
  struct load *load = worker->load;
  struct curl_slist *headers = NULL;
  CURL *easy = new_easy (load, &headers);

  for (uint32_t i = worker->index; i < load->count; i += THREADS)
    {
      int64_t due_us = worker->start_us + (int64_t) i * US_PER_S / load->rate_per_s;
      int64_t sent_us;
      int64_t took_us;
      long status = 0;

      sleep_until_us (due_us);
      sent_us = ash_clock_now_us ();
      if (curl_easy_perform (easy) == CURLE_OK)
        curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      took_us = ash_clock_now_us () - sent_us;
      pthread_mutex_lock (&results_lock);
      if (status == 200)
        load->took_us[load->ok++] = took_us;
      else
        load->failed++;
      pthread_mutex_unlock (&results_lock);
    }
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  return NULL;
}

static int
compare_durations (const void *a, const void *b)
{
  int64_t left = *(const int64_t *) a;
  int64_t right = *(const int64_t *) b;

  return (left > right) - (left < right);
}

void
load_run (struct load *load)
{
  struct worker workers[THREADS];
  int64_t start_us = ash_clock_now_us () + 50000;

  load->took_us = calloc (load->count, sizeof *load->took_us);
  load->ok = 0;
  load->failed = 0;
  for (uint32_t i = 0; i < THREADS; i++)
    {
      workers[i] = (struct worker){ .load = load, .index = i, .start_us = start_us };
      pthread_create (&workers[i].thread, NULL, run_worker, &workers[i]);
    }
  for (uint32_t i = 0; i < THREADS; i++)
    pthread_join (workers[i].thread, NULL);
  qsort (load->took_us, load->ok, sizeof *load->took_us, compare_durations);
}

void
load_finish (struct load *load)
{
  free (load->took_us);
  load->took_us = NULL;
}

int64_t
load_percentile_us (const struct load *load, double share)
{
  if (!load->ok)
    return 0;
  return load->took_us[(uint32_t) ((load->ok - 1) * share)];
}
