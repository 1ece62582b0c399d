import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { resetSocket } from "@clementinemux/standins/net/resetSocket";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

interface SoundResponse {
  /** What the caller gets. */
  readonly body: string;
  readonly head?: (id: string) => string;
  /** Written after the head: all at once, or one at each interval. */
  readonly pieces: readonly string[];
  readonly intervalMs?: number;
  readonly pauseMs?: number;
  /** Called a moment after the last piece. */
  readonly afterwards?: (socket: Socket) => void;
}

const { chunk, event, streamHead, streamEnd, whole } = responses;
const afterwardsMs = 30;
/** As in the deployment's settings by default; a body may have 16 MB. */
const maxHeldBytes = 50_331_648;
const chunkedHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`;

/** Text of this length in which each part differs from the others. */
function createText(length: number): string {
  return Array.from({ length: Math.ceil(length / 8) }, (_, index) => String(index).padStart(8, "0"))
    .join("")
    .slice(0, length);
}

const short = createText(800);
const long = createText(12_000_000);
const events = Array.from({ length: 2000 }, (_, index) => event(index + 1));
const characters = events.slice(0, 8).join("").split("");

const sound: Record<string, SoundResponse> = {
  "chunks of one byte": { body: short, pieces: [...short.split("").map(chunk), streamEnd] },
  "2,000 events after a pause": {
    body: events.join(""),
    head: streamHead,
    pieces: [...events.map(chunk), streamEnd],
    pauseMs: 300,
  },
  "2,000 events in one chunk": {
    body: events.join(""),
    head: streamHead,
    pieces: [chunk(events.join("")), streamEnd],
  },
  "12 MB in chunks of 1,400 bytes": {
    body: long,
    pieces: [...(long.match(/.{1,1400}/g) ?? []).map(chunk), streamEnd],
  },
  "chunk extensions": {
    body: "one,two",
    pieces: ["4;part=1\r\none,\r\n", '3;part="2";last\r\ntwo\r\n', streamEnd],
  },
  trailers: { body: "ok", pieces: [chunk("ok"), "0\r\nx-sum: 1\r\nx-more: 2\r\n\r\n"] },
  "a slow stream of single characters": {
    body: characters.join(""),
    head: streamHead,
    pieces: [...characters.map(chunk), streamEnd],
    intervalMs: 4,
  },
  "a reset after a complete response": {
    body: short,
    head: (id) => whole(id, short),
    pieces: [],
    afterwards: resetSocket,
  },
};

async function respond(socket: Socket, id: string, sent: SoundResponse): Promise<void> {
  const { head = chunkedHead, pieces, intervalMs = 0, pauseMs = 0, afterwards } = sent;
  socket.write(head(id));
  await delay(pauseMs);
  if (intervalMs === 0) {
    socket.write(pieces.join(""));
  } else {
    for (const piece of pieces) {
      await delay(intervalMs);
      socket.write(piece);
    }
  }
  await delay(afterwardsMs);
  afterwards?.(socket);
}

for (const kind of [RouteKind.Idempotent, RouteKind.NonIdempotent, RouteKind.Streaming]) {
  for (const [name, sent] of Object.entries(sound)) {
    // Guards against limits on faulty targets that cut responses of sound ones.
    t.test(`a sound target on a route of kind ${kind}: ${name}`, async (t) => {
      const target = new TestTarget(({ id }, socket) => {
        void respond(socket, id, sent);
      });
      const { call, stop } = await startGateway(
        createDocument(1, [{ kind, attempts: 1, timeoutMs: 8000 }]),
        [target],
        0,
        { maxHeldBytes },
      );
      t.teardown(stop);
      const { status, isComplete, body } = await call({ path: "/p0/", method: "POST" }, "r1", "x");
      t.match({ status, isComplete }, { status: 200, isComplete: true });
      t.ok(body === sent.body, `${body.length} of ${sent.body.length} bytes`);
      t.equal(target.requests.length, 1);
    });
  }
}
