import t from "tap";
import * as fc from "fast-check";
import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { CallerTable } from "@clementinemux/entry/CallerTable";
import { ServingLease } from "@clementinemux/entry/ServingLease";
import { SseParser } from "@clementinemux/entry/SseParser";
import { createProblem } from "@clementinemux/entry/createProblem";
import { orderAddresses } from "@clementinemux/entry/orderAddresses";
import { parseStreamEvent } from "@clementinemux/entry/parseStreamEvent";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";

const seed = 20_260_101;

// Guards against events or characters corrupted at chunk boundaries, with any line endings.
t.test("parser gives the same events for every split", (t) => {
  const text = fc.string({ unit: "grapheme", minLength: 1, maxLength: 12 });
  const cuts = fc.array(fc.nat(400), { maxLength: 20 });
  fc.assert(
    fc.property(
      fc.array(text, { maxLength: 8 }),
      cuts,
      fc.constantFrom("\n", "\r\n", "\r"),
      (texts, at, end) => {
        const expected = texts.map((each) => `data: ${each.replaceAll(/[\r\n]/g, "_")}`);
        const bytes = Buffer.from(expected.map((event) => `${event}${end}${end}`).join(""));
        const parser = new SseParser(10_000);
        const boundaries = [0, ...[...at].sort((left, right) => left - right), bytes.length];
        const events = boundaries.flatMap((boundary, index) =>
          parser.push(bytes.subarray(boundary, boundaries[index + 1] ?? bytes.length)),
        );
        // A carriage return at the end is buffered until the next byte shows that no line feed follows.
        const flushed = end === "\r" ? [...events, ...parser.push(Buffer.from("x"))] : events;
        const actual = flushed.map((event) => Buffer.from(event, "latin1").toString("utf8"));
        return JSON.stringify(actual) === JSON.stringify(expected);
      },
    ),
    { seed, numRuns: 500 },
  );
  t.end();
});

// Guards against unbounded memory use for an endless event.
t.test("too large an event is an error", (t) => {
  const parser = new SseParser(100);
  t.throws(() => parser.push(Buffer.alloc(101, 65)), RangeError);
  t.end();
});

// Guards against the fast path for token events returning something else than the JSON parser.
t.test("token events are read alike with and without the fast path", (t) => {
  const chunk = fc.record({
    token_index: fc.nat(2_000_000_000),
    text: fc.string({ unit: "grapheme" }),
    reason: fc.constantFrom(null, "stop"),
    id: fc.constantFrom("r.1", "r.2", "r.11"),
  });
  fc.assert(
    fc.property(chunk, ({ token_index, text, reason, id }) => {
      const choices = [{ index: 0, delta: { content: text }, finish_reason: reason }];
      const read = (object: unknown): unknown => {
        const data = Buffer.from(JSON.stringify(object), "utf8").toString("latin1");
        const event = parseStreamEvent(data, "r.1");
        return "tail" in event
          ? { ...event, tail: JSON.parse(Buffer.from(`{"x":0${event.tail}`, "latin1").toString()) as unknown }
          : event;
      };
      // Another field order is not read by the fast path.
      const fastPath = read({ id, token_index, choices });
      const fullParse = read({ choices, token_index, id });
      return JSON.stringify(fastPath) === JSON.stringify(fullParse);
    }),
    { seed, numRuns: 500 },
  );
  t.end();
});

const renewal = (revision: number, changes: Partial<RenewResponse> = {}): RenewResponse => ({
  epoch: 1,
  revision,
  confirmed: true,
  leaseMs: 4000,
  changes: [],
  config: { ...createDefaultConfig(), revision },
  ...changes,
});

// Guards against serving without a confirmed revision, or longer than a lease after the renewal was sent.
t.test("lease needs a confirmation and starts when the renewal was sent", (t) => {
  const lease = new ServingLease(createDefaultConfig());
  t.notOk(lease.isServing(0, "r"));
  lease.onRenewed(renewal(3, { confirmed: false }), 0);
  t.notOk(lease.isServing(1, "r"));
  lease.onRenewed(renewal(3), 1000);
  t.ok(lease.isServing(4999, "r"));
  t.notOk(lease.isServing(5000, "r"));
  t.end();
});

// Guards against a configuration that reverts, or a lease from control with older state than the entry.
t.test("lower revision is neither applied nor served", (t) => {
  const lease = new ServingLease(createDefaultConfig());
  lease.onRenewed(renewal(5, { epoch: 2 }), 0);
  t.notOk(lease.onRenewed(renewal(4, { epoch: 2 }), 1000));
  t.notOk(lease.onRenewed(renewal(6, { epoch: 1 }), 1000));
  t.equal(lease.config.revision, 5);
  t.notOk(lease.isServing(4500, "r"));
  lease.onRenewed(renewal(9, { epoch: 2, config: null }), 1000);
  t.notOk(lease.isServing(4500, "r"), "a gap in the changes gives no lease");
  t.end();
});

// Guards against a region serving without control on a configuration that was never confirmed.
t.test("serving without control needs the exception and one confirmation", (t) => {
  const exception = {
    id: "x",
    reason: "partition drill",
    author: "operator",
    createdAtMs: 0,
    expiresAtMs: null,
    selector: { region: "r" },
    override: { serveWithoutControl: true },
  };
  const config = { ...createDefaultConfig(), revision: 1, exceptions: [exception] };
  const lease = new ServingLease(createDefaultConfig());
  lease.onRenewed(renewal(1, { config, confirmed: false }), 0);
  t.notOk(lease.isServing(1, "r"));
  lease.onRenewed(renewal(1, { config }), 0);
  t.ok(lease.isServing(60_000, "r"));
  t.notOk(lease.isServing(60_000, "other"));
  t.end();
});

// Guards against a token accepted by its prefix, or mapped to another team.
t.test("only the full token identifies its team", (t) => {
  const table = new CallerTable([
    { team: "a", token: "token-of-a" },
    { team: "b", token: "token-of-b" },
  ]);
  t.equal(table.findTeam("Bearer token-of-b"), "b");
  t.equal(table.findTeam("Bearer token-of-"), null);
  t.equal(table.findTeam("Basic token-of-b"), null);
  t.equal(table.findTeam(undefined), null);
  t.end();
});

const entries: EntryAnnouncement[] = Array.from({ length: 18 }, (_, index) => ({
  entry: `entry-${index}`,
  incarnation: "1",
  url: `http://entry-${index}`,
  failureDomain: `fd-${index % 3}`,
  region: "r",
  leaving: index === 4,
}));

// Guards against addresses of leaving entries, unstable first choices, and failover of all callers to one
// entry or failure domain.
t.test("addresses are stable per team and spread per caller", (t) => {
  const secondAddresses = new Set<string>();
  for (let caller = 0; caller < 50; caller += 1) {
    const order = orderAddresses(entries, "team", `caller-${caller}`, "r");
    t.equal(order.length, 17);
    t.equal(order[0], orderAddresses(entries, "team", "someone", "r")[0]);
    t.notOk(order.includes("http://entry-4"));
    const domains = order.slice(0, 3).map((url) => Number(url.split("-")[1]) % 3);
    t.equal(new Set(domains).size, 3);
    secondAddresses.add(order[1] ?? "");
  }
  t.ok(secondAddresses.size >= 8, "the second addresses differ between callers");
  t.end();
});

// Guards against rejected callers that retry simultaneously.
t.test("retry delay is jittered", (t) => {
  const refusal = {
    requestId: "x",
    reason: RefusalReason.QueueFull,
    outcome: Outcome.NotRun,
    retryAfterMs: 1000,
  };
  t.equal(createProblem(refusal, () => 0).retryAfterMs, 500);
  t.equal(createProblem(refusal, () => 0.9).retryAfterMs, 1400);
  t.end();
});
