import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { AttemptOutcome } from "@clementinemux/gateway/AttemptOutcome";
import { EventSplitter } from "@clementinemux/gateway/EventSplitter";
import type { RelayedEvent } from "@clementinemux/gateway/RelayedEvent";
import { FleetView } from "@clementinemux/gateway/FleetView";
import { NextStep } from "@clementinemux/gateway/NextStep";
import { RetryBudget } from "@clementinemux/gateway/RetryBudget";
import { TargetHealth } from "@clementinemux/gateway/TargetHealth";
import { chooseByFreeSlots } from "@clementinemux/gateway/chooseByFreeSlots";
import { decideNextStep } from "@clementinemux/gateway/decideNextStep";
import { encode } from "cbor-x";
import { createDocument } from "../../routes/test/createDocument";
import { TestCodec } from "./TestCodec";

t.test("all gateways together stay within the ratio and the slack", (t) => {
  const gateways = 16;
  const budgets = Array.from(
    { length: gateways },
    () => new RetryBudget({ ratio: 0.2, slack: 200, windowMs: 10_000 }),
  );
  let retries = 0;
  let requests = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    for (const budget of budgets) {
      budget.noteRequest(nowMs);
      requests += 1;
      retries += budget.take(gateways, nowMs) ? 1 : 0;
    }
  }
  t.ok(retries <= requests * 0.2 + 200);
  t.ok(retries > requests * 0.1);
  t.end();
});

/** Splits a text that arrives in pieces of one size. */
function split(text: string, pieceBytes: number) {
  const splitter = new EventSplitter();
  const events: RelayedEvent[] = [];
  let maxHeldBytes = 0;
  for (let at = 0; at < text.length; at += pieceBytes) {
    splitter.add(Buffer.from(text.slice(at, at + pieceBytes)));
    for (let event = splitter.next(); event !== null; event = splitter.next()) {
      events.push(event);
    }
    maxHeldBytes = Math.max(maxHeldBytes, splitter.heldBytes);
  }
  const bytes = events.map((event) => event.bytes.toString()).join("");
  return { events, bytes, maxHeldBytes, pendingBytes: splitter.pendingBytes };
}

t.test("events are split at blank lines for any chunk size", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\r\r\n\r\n\n\n";
  for (let size = 1; size <= text.length; size += 1) {
    const { events, bytes, pendingBytes } = split(text, size);
    const ids = events.map(({ id }) => id);
    t.same(ids, ["1", "2", null, null]);
    t.equal(bytes, text);
    t.equal(pendingBytes, 0);
  }
  t.end();
});

// Guards against an incomplete event that is scanned and copied again at each of its pieces, or held as many objects.
t.test("an event in pieces of one byte takes time and memory by its bytes", (t) => {
  const text = `data: ${"x".repeat(250_000)}\n\n`;
  const startedMs = performance.now();
  const { bytes, maxHeldBytes } = split(text, 1);
  t.ok(performance.now() - startedMs < 1000);
  t.ok(bytes === text, "the event is complete");
  t.ok(maxHeldBytes < text.length + 131_072, `${maxHeldBytes} bytes were held`);
  t.end();
});

t.test("a request that may have run is never rejected as not run", (t) => {
  const base = { attemptsLeft: 1, leftMs: 1000, isRetryable: false, mayHaveRun: false };
  t.equal(decideNextStep({ ...base, outcome: AttemptOutcome.NotRun }), NextStep.Retry);
  t.equal(decideNextStep({ ...base, outcome: AttemptOutcome.NotSent, attemptsLeft: 0 }), NextStep.Reject);
  const unknown = { ...base, outcome: AttemptOutcome.Unknown, mayHaveRun: true };
  t.equal(decideNextStep(unknown), NextStep.Fail);
  t.equal(decideNextStep({ ...unknown, isRetryable: true }), NextStep.Retry);
  t.equal(
    decideNextStep({ ...base, outcome: AttemptOutcome.NotRun, mayHaveRun: true, attemptsLeft: 0 }),
    NextStep.Fail,
  );
  t.end();
});

t.test("gateways that see each other's load late spread over the targets", (t) => {
  const random = createRandom(7);
  const counts = new Map<string, number>();
  const candidates = Array.from({ length: 16 }, (_, index) => ({
    id: `t-${index}`,
    slots: 8,
    load: index === 0 ? 0 : 2,
    weight: 1,
    isNear: false,
  }));
  for (let request = 0; request < 160; request += 1) {
    const id = chooseByFreeSlots(candidates, 1, random) ?? "";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  t.ok(Math.max(...counts.values()) < 40, "guards against all gateways choosing the emptiest target");
  t.equal(
    chooseByFreeSlots(
      candidates.map((item) => ({ ...item, load: 9 })),
      1,
      random,
    ),
    null,
  );
  t.end();
});

t.test("targets that fail are avoided, but never most of them", (t) => {
  const health = new TargetHealth();
  const targets = ["a", "b", "c", "d"].map((id) => ({ id }));
  health.noteUnreachable("a", 0);
  t.same(
    health.select(targets, 100).map(({ id }) => id),
    ["b", "c", "d"],
  );
  t.equal(health.select(targets, 500).length, 4, "the avoidance has expired");
  for (const { id } of targets.slice(0, 3)) {
    health.noteUnreachable(id, 1000);
  }
  t.equal(health.select(targets, 1001).length, 4, "guards against excluding a whole service");
  t.ok(health.getWeight("a") < health.getWeight("d"));
  t.end();
});

t.test("a view expires with the age of its confirmation and never reverts", (t) => {
  const view = new FleetView(new TestCodec());
  const response = {
    ageMs: 500 as number | null,
    documentVersion: 3,
    document: encode(createDocument(3)),
    registryState: "x",
    targets: [],
    isComplete: true,
    inFlight: {},
    paces: {},
    liveEntries: 1,
    nearest: null,
    coordinators: [],
  };
  t.notOk(view.isFresh(0));
  t.ok(view.update(response, 1000));
  t.ok(view.isFresh(4400));
  t.notOk(view.isFresh(4600), "counted from the send time minus the age");
  t.notOk(view.update({ ...response, documentVersion: 2, document: encode(createDocument(2)) }, 5000));
  t.equal(view.version, 3, "guards against an older document from a coordinator that is behind");
  t.notOk(view.update({ ...response, ageMs: null, document: null }, 5000));
  t.notOk(view.isFresh(5000));
  t.end();
});
