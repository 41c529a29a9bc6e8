#include "net/peer.h"

#include "common/clock.h"
#include "common/id.h"
#include "controllers/peer_period.h"
#include "net/bind.h"
#include "net/handshake.h"
#include "net/frame_delay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define READ_BYTES 65536
#define MS_PER_S 1000.0
#define ACCEPTED_LINKS_MAX 2048

/* Limit on unsent bytes to a slow peer; its link is closed beyond that. */
#define SEND_QUEUE_MAX_BYTES (16 * 1024 * 1024)

enum link_state
{
  LINK_CONNECTING, /* dialling side: TCP connection not established yet */
  LINK_CHALLENGED, /* accepting side: challenge sent; dialling side: waits for the challenge */
  LINK_PROVING,    /* dialling side: hello sent, waits for the peer's hello */
  LINK_UP,         /* handshake complete */
};

struct ash_link
{
  struct ash_peers *peers;
  struct ash_dial *dial; /* NULL: the peer dialled this link */
  enum link_state state;
  char box[ASH_NAME_BYTES];
  uint64_t incarnation; /* incarnation of the peer */
  struct ash_nonces nonces;
  int fd;
  ev_io read_io;
  ev_io write_io;
  struct ash_time last_frame; /* when a frame was last received, or the link was opened */
  struct ash_time last_heartbeat;
  uint32_t period_ms; /* heartbeat period announced by the peer; 0: not announced yet */
  struct ash_buffer in;
  struct ash_buffer out;
  struct ash_frame_key in_key;
  struct ash_frame_key out_key;
  struct ash_frame_delay frame_delay; /* delay of received frames */
  const char *close_reason;           /* set: the link is closed in the next loop iteration */
  struct ash_link *prev;
  struct ash_link *next;
};

/* An address that is dialled whenever there is no link to it. */
struct ash_dial
{
  char box[ASH_NAME_BYTES];
  bool name_learned; /* `box` was not configured, but taken from the last hello from this address */
  char address[ASH_NAME_BYTES];
  struct ash_link *link; /* NULL: neither connected nor connecting */
  struct ash_time next_try;
  struct ash_dial *prev;
  struct ash_dial *next;
};

/* ---- links ---- */

static const char cannot_send[] = "can't send";

static void
emit_event (struct ash_link *link, Ash__Event__KindCase kind, const void *message)
{
  ash_emit (&link->peers->handler, link->box, kind, message);
}

static void
close_link (struct ash_link *link, const char *reason)
{
  struct ash_peers *peers = link->peers;
  struct Ash__LinkDown down = ASH__LINK_DOWN__INIT;
  bool was_up = link->state == LINK_UP;
  uint32_t wait_ms = peers->settings.dial_retry_ms;

  ev_io_stop (peers->loop, &link->read_io);
  ev_io_stop (peers->loop, &link->write_io);
  close (link->fd);
  DL_DELETE (peers->links, link);
  if (link->dial)
    {
      link->dial->link = NULL;
      /* Jitter of half to one and a half times the delay, so that all boxes of a fleet that lost
       * the same peer do not reconnect at the same time. */
      wait_ms = wait_ms / 2 + ash_random_below (&peers->random, wait_ms + 1);
      link->dial->next_try = ash_time_add (ash_clock_now (), wait_ms);
    }
  if (was_up)
    {
      ash_log_event (&peers->log, ASH_EV_LINK_DOWN, "box=%s why=\"%s\"", link->box, reason);
      emit_event (link, ASH__EVENT__KIND_LINK_DOWN, &down);
    }
  ash_buffer_finish (&link->in);
  ash_buffer_finish (&link->out);
  free (link);
}

static void
flush (struct ash_link *link)
{
  while (link->out.length)
    {
      ssize_t sent =
          send (link->fd, link->out.bytes + link->out.start, link->out.length, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0)
        {
          /* on_writable() closes the link: flush() may be called from an event handler. */
          if (errno != EAGAIN)
            link->close_reason = cannot_send;
          break;
        }
      link->peers->bytes_out += (uint64_t) sent;
      ash_buffer_consume (&link->out, (size_t) sent);
    }
  if (link->out.length || link->close_reason)
    ev_io_start (link->peers->loop, &link->write_io);
  else
    ev_io_stop (link->peers->loop, &link->write_io);
}

static void
send_event (struct ash_link *link, const struct Ash__Event *event)
{
  struct Ash__Event stamped = *event;

  stamped.sent_ms = (uint32_t) ash_clock_now ().ms;
  if (link->out.length > SEND_QUEUE_MAX_BYTES ||
      !ash_frame_write (&link->out, &link->out_key, &stamped))
    link->close_reason = cannot_send;
  flush (link);
}

static void
send_message (struct ash_link *link, Ash__Event__KindCase kind, const void *message)
{
  struct Ash__Event event = ash_event_wrap ("", kind, message);

  send_event (link, &event);
}

static void
send_hello (struct ash_link *link, enum ash_link_side side)
{
  struct ash_peers *peers = link->peers;
  struct Ash__Hello hello = ASH__HELLO__INIT;
  uint8_t proof[ASH_PROOF_BYTES];

  hello.box = ash_proto_text (peers->identity.box);
  hello.role = peers->identity.role;
  hello.incarnation = peers->identity.incarnation;
  hello.revision = peers->revision (peers->data);
  hello.nonce.data = link->nonces.dial;
  hello.nonce.len = sizeof link->nonces.dial;
  ash_handshake_prove (peers->identity.fleet_key, &link->nonces, side, &hello, proof);
  hello.proof.data = proof;
  hello.proof.len = sizeof proof;
  send_message (link, ASH__EVENT__KIND_HELLO, &hello);
}

static uint32_t
heartbeat_period_ms (const struct ash_link *link)
{
  const struct ash_peers *peers = link->peers;

  return peers->period_ms ? peers->period_ms (peers->data, link->box)
                          : peers->settings.heartbeat_ms;
}

static void
send_heartbeat (struct ash_link *link)
{
  struct Ash__Heartbeat heartbeat = ASH__HEARTBEAT__INIT;
  struct ash_peers *peers = link->peers;

  peers->heartbeat (peers->data, link->box, &heartbeat);
  heartbeat.period_ms = heartbeat_period_ms (link);
  link->last_heartbeat = ash_clock_now ();
  send_message (link, ASH__EVENT__KIND_HEARTBEAT, &heartbeat);
  free (heartbeat.leaving_boxes);
  free (heartbeat.leaving_incarnations);
  free (heartbeat.known_boxes);
  free (heartbeat.known_addresses);
}

static struct ash_link *
find_link_up (const struct ash_peers *peers, const char *box)
{
  struct ash_link *link;

  DL_FOREACH (peers->links, link)
    if (link->state == LINK_UP && strcmp (link->box, box) == 0)
      return link;
  return NULL;
}

/* Close reason of a redundant link, which is not logged as an error. */
static const char duplicate_link[] = "there is a link to that box already";

/* If two boxes dial each other at the same time there are two links, and both sides must close the
 * same one: the link dialled by the box whose name sorts first is kept. */
static bool
is_duplicate (const struct ash_link *link,
              const struct ash_link *existing,
              const struct Ash__Hello *hello)
{
  bool own_first = strcmp (link->peers->identity.box, hello->box) < 0;

  return existing && existing->incarnation == hello->incarnation &&
         own_first != (link->dial != NULL);
}

static void
bring_up (struct ash_link *link, const struct Ash__Hello *hello)
{
  struct ash_peers *peers = link->peers;
  struct Ash__LinkUp up = ASH__LINK_UP__INIT;
  struct ash_link *existing = find_link_up (peers, hello->box);

  /* There is one link per box. The new link replaces the existing one, as the peer uses the new
   * one. */
  if (existing)
    close_link (existing, "replaced");
  snprintf (link->box, sizeof link->box, "%s", hello->box);
  link->incarnation = hello->incarnation;
  link->state = LINK_UP;
  up.role = hello->role;
  up.incarnation = hello->incarnation;
  up.revision = hello->revision;
  ash_log_event (&peers->log, ASH_EV_LINK_UP, "box=%s incarnation=%016llx", link->box,
                 (unsigned long long) hello->incarnation);
  emit_event (link, ASH__EVENT__KIND_LINK_UP, &up);
  send_heartbeat (link);
}

/* ---- handshake ---- */

/* Each handler returns the reason why the link must be closed, or NULL. */

static const char *
handle_challenge (struct ash_link *link, const struct Ash__Event *event)
{
  if (!link->dial || event->kind_case != ASH__EVENT__KIND_CHALLENGE ||
      event->challenge->nonce.len != ASH_NONCE_BYTES)
    return "expected a challenge";
  memcpy (link->nonces.accept, event->challenge->nonce.data, ASH_NONCE_BYTES);
  randombytes_buf (link->nonces.dial, ASH_NONCE_BYTES);
  send_hello (link, ASH_SIDE_DIAL);
  link->state = LINK_PROVING;
  return NULL;
}

static const char *
handle_hello (struct ash_link *link, const struct Ash__Event *event)
{
  struct ash_peers *peers = link->peers;
  const uint8_t *fleet_key = peers->identity.fleet_key;
  enum ash_link_side sender = link->dial ? ASH_SIDE_ACCEPT : ASH_SIDE_DIAL;
  const struct Ash__Hello *hello = event->hello;

  if (event->kind_case != ASH__EVENT__KIND_HELLO || hello->nonce.len != ASH_NONCE_BYTES ||
      strlen (hello->box) >= ASH_NAME_BYTES)
    return "expected a hello";
  if (!link->dial)
    memcpy (link->nonces.dial, hello->nonce.data, ASH_NONCE_BYTES);
  if (!ash_handshake_check (fleet_key, &link->nonces, sender, hello))
    return "wrong proof of the fleet key";
  if (link->dial && !link->dial->name_learned && *link->dial->box &&
      strcmp (link->dial->box, hello->box) != 0)
    return "another box answers at this address";
  if (strcmp (hello->box, peers->identity.box) == 0)
    return "the peer has this box's own name";
  if (link->dial && (link->dial->name_learned || !*link->dial->box))
    {
      link->dial->name_learned = true;
      snprintf (link->dial->box, sizeof link->dial->box, "%s", hello->box);
    }
  /* Sent even if the link is then closed as a duplicate: otherwise the dialling side would not
   * learn the name of the box at this address, and would keep dialling it. */
  if (!link->dial)
    send_hello (link, ASH_SIDE_ACCEPT);
  if (is_duplicate (link, find_link_up (peers, hello->box), hello))
    return duplicate_link;
  ash_handshake_frame_key (fleet_key, &link->nonces, sender, &link->in_key);
  ash_handshake_frame_key (fleet_key, &link->nonces, link->dial ? ASH_SIDE_DIAL : ASH_SIDE_ACCEPT,
                           &link->out_key);
  bring_up (link, hello);
  return NULL;
}

static const char *
handle_event (struct ash_link *link, struct Ash__Event *event)
{
  switch (link->state)
    {
    case LINK_CONNECTING:
      return "received a frame before the connection was established";
    case LINK_CHALLENGED:
      return link->dial ? handle_challenge (link, event) : handle_hello (link, event);
    case LINK_PROVING:
      return handle_hello (link, event);
    case LINK_UP:
      if (event->kind_case == ASH__EVENT__KIND_HELLO ||
          event->kind_case == ASH__EVENT__KIND_CHALLENGE)
        return "received a handshake message after the handshake";
      break;
    }
  if (ash_frame_delay_ms (&link->frame_delay, ash_clock_now (), event->sent_ms) >
      link->peers->settings.link_silence_ms)
    return "received a frame that was delayed for too long";
  if (event->kind_case == ASH__EVENT__KIND_HEARTBEAT)
    link->period_ms = event->heartbeat->period_ms;
  /* The sender is the box authenticated by the handshake; the frame's `peer` is ignored. */
  free (event->peer == protobuf_c_empty_string ? NULL : event->peer);
  event->peer = link->box;
  link->peers->handler.emit (link->peers->handler.data, event);
  event->peer = ash_proto_text (protobuf_c_empty_string);
  return NULL;
}

/* ---- sockets ---- */

/* @return the reason why the link must be closed, or NULL. */
static const char *
read_frames (struct ash_link *link)
{
  struct Ash__Event *event;
  const char *reason = NULL;

  while (!reason)
    {
      switch (ash_frame_read (&link->in, &link->in_key, &event))
        {
        case ASH_FRAME_INCOMPLETE:
          return NULL;
        case ASH_FRAME_INVALID:
          return "received an invalid frame";
        case ASH_FRAME_COMPLETE:
          link->last_frame = ash_clock_now ();
          reason = handle_event (link, event);
          ash__event__free_unpacked (event, NULL);
          if (!reason)
            reason = link->close_reason;
          break;
        }
    }
  return reason;
}

static bool
is_silent (const struct ash_link *link, struct ash_time now)
{
  const struct ash_peer_settings *settings = &link->peers->settings;

  return ash_time_diff (link->last_frame, now) >
         ash_peer_period_silence_ms (settings->link_silence_ms, settings->heartbeat_ms,
                                     link->period_ms);
}

/* Completes a non-blocking connect(). @return false if it failed; the link is closed then. */
static bool
finish_connect (struct ash_link *link)
{
  int error = 0;
  socklen_t error_bytes = sizeof error;

  getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &error_bytes);
  if (error)
    {
      close_link (link, "can't connect");
      return false;
    }
  link->state = LINK_CHALLENGED;
  return true;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  struct ash_link *link = io->data;
  struct ash_peers *peers = link->peers;
  uint8_t *at = ash_buffer_reserve (&link->in, READ_BYTES);
  const char *reason = NULL;
  bool was_up = link->state == LINK_UP;
  ssize_t length;

  (void) loop;
  (void) events;
  /* This process may have been suspended; the bytes in the socket are then too old. */
  if (is_silent (link, ash_clock_now ()))
    {
      close_link (link, "silent");
      return;
    }
  /* The challenge may be readable before on_writable() has reported the connection. */
  if (link->state == LINK_CONNECTING && !finish_connect (link))
    return;
  length = at ? recv (link->fd, at, READ_BYTES, 0) : -1;
  if (length < 0 && at && (errno == EAGAIN || errno == EINTR))
    return;
  if (length <= 0)
    {
      close_link (link, length == 0 ? "closed by the peer" : "can't read");
      return;
    }
  peers->bytes_in += (uint64_t) length;
  link->in.length += (size_t) length;
  reason = read_frames (link);
  if (!reason)
    return;
  if (!was_up && reason != duplicate_link)
    ash_log_event (&peers->log, ASH_EV_PEER_REFUSED, "address=%s why=\"%s\"",
                   link->dial ? link->dial->address : "accepted", reason);
  close_link (link, reason);
}

static void
on_writable (struct ev_loop *loop, ev_io *io, int events)
{
  struct ash_link *link = io->data;

  (void) loop;
  (void) events;
  if (link->close_reason)
    close_link (link, link->close_reason);
  else if (link->state != LINK_CONNECTING || finish_connect (link))
    flush (link);
}

static struct ash_link *
new_link (struct ash_peers *peers, int fd, enum link_state state)
{
  struct ash_link *link = calloc (1, sizeof *link);
  int on = 1;

  if (!link)
    {
      close (fd);
      return NULL;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  fcntl (fd, F_SETFD, FD_CLOEXEC);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  link->peers = peers;
  link->state = state;
  link->fd = fd;
  link->last_frame = ash_clock_now ();
  ash_frame_delay_init (&link->frame_delay);
  ev_io_init (&link->read_io, on_readable, fd, EV_READ);
  ev_io_init (&link->write_io, on_writable, fd, EV_WRITE);
  link->read_io.data = link;
  link->write_io.data = link;
  DL_APPEND (peers->links, link);
  ev_io_start (peers->loop, &link->read_io);
  return link;
}

static uint32_t
accepted_count (const struct ash_peers *peers)
{
  const struct ash_link *link;
  uint32_t count = 0;

  DL_FOREACH (peers->links, link)
    count += link->dial == NULL;
  return count;
}

static void
on_acceptable (struct ev_loop *loop, ev_io *io, int events)
{
  struct ash_peers *peers = io->data;
  struct Ash__Challenge challenge = ASH__CHALLENGE__INIT;
  struct ash_link *link;
  int fd = accept (peers->listen_fd, NULL, NULL);

  (void) loop;
  (void) events;
  if (fd < 0)
    return;
  if (accepted_count (peers) >= ACCEPTED_LINKS_MAX)
    {
      close (fd);
      return;
    }
  link = new_link (peers, fd, LINK_CHALLENGED);
  if (!link)
    return;
  randombytes_buf (link->nonces.accept, ASH_NONCE_BYTES);
  challenge.nonce.data = link->nonces.accept;
  challenge.nonce.len = ASH_NONCE_BYTES;
  send_message (link, ASH__EVENT__KIND_CHALLENGE, &challenge);
}

static void
connect_dial (struct ash_peers *peers, struct ash_dial *dial)
{
  struct sockaddr_in address;
  int fd;

  if (!ash_socket_address (dial->address, &address))
    return;
  fd = socket (AF_INET, SOCK_STREAM, 0);
  if (fd < 0)
    return;
  dial->link = new_link (peers, fd, LINK_CONNECTING);
  if (!dial->link)
    return;
  dial->link->dial = dial;
  if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0 && errno != EINPROGRESS)
    close_link (dial->link, "can't connect");
  else
    ev_io_start (peers->loop, &dial->link->write_io);
}

/* ---- timers and public functions ---- */

static void
start_due_dials (struct ash_peers *peers, struct ash_time now)
{
  struct ash_dial *dial;

  DL_FOREACH (peers->dials, dial)
    {
      if (dial->link || ash_time_before (now, dial->next_try))
        continue;
      /* The peer may have dialled this box already. */
      if (*dial->box && find_link_up (peers, dial->box))
        continue;
      connect_dial (peers, dial);
    }
}

/* Runs every heartbeat_ms, and sends each heartbeat at the run closest to its due time. */
static void
send_due_heartbeats (struct ash_peers *peers, struct ash_time now)
{
  int64_t slack_ms = peers->settings.heartbeat_ms / 2;
  struct ash_link *link;

  DL_FOREACH (peers->links, link)
    if (link->state == LINK_UP &&
        ash_time_diff (link->last_heartbeat, now) + slack_ms >= heartbeat_period_ms (link))
      send_heartbeat (link);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct ash_peers *peers = timer->data;
  struct ash_time now = ash_clock_now ();
  struct ash_link *link;
  struct ash_link *next;

  (void) loop;
  (void) events;
  DL_FOREACH_SAFE (peers->links, link, next)
    {
      if (is_silent (link, now))
        close_link (link, "silent");
    }
  start_due_dials (peers, now);
  send_due_heartbeats (peers, now);
}

void
ash_peers_send_heartbeat (struct ash_peers *peers, const char *box)
{
  struct ash_link *link = find_link_up (peers, box);

  if (link)
    send_heartbeat (link);
}

void
ash_peers_send_heartbeats (struct ash_peers *peers)
{
  struct ash_link *link;

  DL_FOREACH (peers->links, link)
    if (link->state == LINK_UP)
      send_heartbeat (link);
}

bool
ash_peers_init (struct ash_peers *peers, struct ev_loop *loop)
{
  double period_s = peers->settings.heartbeat_ms / MS_PER_S;

  peers->loop = loop;
  peers->links = NULL;
  peers->dials = NULL;
  peers->listen_fd = ash_listen (peers->settings.listen);
  if (peers->listen_fd < 0)
    return false;
  ash_random_init (&peers->random, peers->identity.incarnation);
  ev_io_init (&peers->listen_io, on_acceptable, peers->listen_fd, EV_READ);
  peers->listen_io.data = peers;
  ev_io_start (loop, &peers->listen_io);
  ev_timer_init (&peers->timer, on_timer, 0, period_s);
  peers->timer.data = peers;
  ev_timer_start (loop, &peers->timer);
  return true;
}

void
ash_peers_finish (struct ash_peers *peers)
{
  struct ash_dial *dial;
  struct ash_dial *next;

  ev_io_stop (peers->loop, &peers->listen_io);
  ev_timer_stop (peers->loop, &peers->timer);
  while (peers->links)
    close_link (peers->links, "stopped");
  DL_FOREACH_SAFE (peers->dials, dial, next)
    free (dial);
  peers->dials = NULL;
  if (peers->listen_fd >= 0)
    close (peers->listen_fd);
}

uint16_t
ash_peers_port (const struct ash_peers *peers)
{
  struct sockaddr_in address;
  socklen_t length = sizeof address;

  if (getsockname (peers->listen_fd, (struct sockaddr *) &address, &length) < 0)
    return 0;
  return ntohs (address.sin_port);
}

void
ash_peers_dial (struct ash_peers *peers, const char *box, const char *address)
{
  struct ash_dial *dial;

  DL_FOREACH (peers->dials, dial)
    if (strcmp (dial->address, address) == 0 &&
        (strcmp (dial->box, box) == 0 || dial->name_learned))
      return;
  dial = calloc (1, sizeof *dial);
  if (!dial)
    return;
  snprintf (dial->box, sizeof dial->box, "%s", box);
  snprintf (dial->address, sizeof dial->address, "%s", address);
  DL_APPEND (peers->dials, dial);
}

void
ash_peers_drop_dials (struct ash_peers *peers,
                      bool (*wanted) (void *data, const char *box, const char *address),
                      void *data)
{
  struct ash_dial *dial;
  struct ash_dial *next;

  DL_FOREACH_SAFE (peers->dials, dial, next)
    {
      if (wanted (data, dial->box, dial->address))
        continue;
      DL_DELETE (peers->dials, dial);
      /* The link is closed by on_writable(), as this may be called while one of its frames is being
       * handled. Until then it must read nothing: without its dial, a handshake would continue as
       * on the accepting side. */
      if (dial->link)
        {
          dial->link->dial = NULL;
          dial->link->close_reason = "not needed";
          ev_io_stop (peers->loop, &dial->link->read_io);
          ev_io_start (peers->loop, &dial->link->write_io);
        }
      free (dial);
    }
}

bool
ash_peers_send (struct ash_peers *peers, const char *box, const struct Ash__Event *event)
{
  struct ash_link *link = find_link_up (peers, box);
  struct Ash__Event copy = *event;

  if (!link || link->close_reason)
    return false;
  /* Not sent: the receiver sets `peer` to the authenticated box. */
  copy.peer = ash_proto_text (protobuf_c_empty_string);
  send_event (link, &copy);
  return true;
}

void
ash_peers_close_links (struct ash_peers *peers)
{
  while (peers->links)
    close_link (peers->links, "paused");
}
