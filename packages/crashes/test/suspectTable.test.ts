import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { AnsweredCauses } from "@clementinemux/crashes/AnsweredCauses";
import { SuspectTable } from "@clementinemux/crashes/SuspectTable";

const suspicion = { part: "poison", crashes: 1, ageMs: 0, leftMs: 30_000, isLifted: false };

// Guards against all gateways that try a suspected part at the same moment.
t.test("gateways end a suspicion one after the other", (t) => {
  const random = createRandom(3);
  const gateways = Array.from({ length: 100 }, () => new SuspectTable(random));
  gateways.forEach((suspects) => {
    suspects.update([suspicion], 0);
  });
  const endsMs = gateways.map((suspects) => suspects.getWaitMs(["poison", "other"], 0));
  t.ok(Math.min(...endsMs) >= 30_000);
  for (let atMs = 30_000; atMs < 60_000; atMs += 1000) {
    const ending = endsMs.filter((endMs) => endMs >= atMs && endMs < atMs + 1000);
    t.ok(ending.length <= 12, `${ending.length} of 100 in second ${atMs / 1000}`);
  }
  t.equal(gateways[0]?.getWaitMs(["other"], 0), 0);
  t.end();
});

// Guards against a gateway that sends many requests with a part at the end of its suspicion.
t.test("after a suspicion a part is tried by one request at a time", (t) => {
  const suspects = new SuspectTable(() => 0);
  suspects.update([suspicion], 0);
  suspects.noteSent(["poison"], 100);
  t.equal(suspects.getWaitMs(["poison"], 29_000), 1000, "a request that was sent meanwhile does not end it");
  t.equal(suspects.getWaitMs(["poison"], 30_000), 0);
  suspects.noteSent(["poison"], 30_000);
  t.ok(suspects.getWaitMs(["poison"], 30_001) > 2000);
  suspects.update([{ ...suspicion, crashes: 2, leftMs: 120_000 }], 31_000);
  t.equal(suspects.getWaitMs(["poison"], 31_000), 120_000);
  t.end();
});

// Guards against a coordinator without memory that ends suspicions, and against one that brings back an ended one.
t.test("a suspicion ends when it is lifted, not when a coordinator no longer names it", (t) => {
  const suspects = new SuspectTable(() => 0);
  suspects.update([suspicion], 0);
  suspects.update([], 1000);
  t.equal(suspects.getWaitMs(["poison"], 1000), 29_000);
  t.match(
    suspects.list(1000),
    [{ part: "poison", ageMs: 1000, leftMs: 29_000 }],
    "it is told to coordinators",
  );
  suspects.update([{ ...suspicion, leftMs: 0, isLifted: true }], 2000);
  t.equal(suspects.getWaitMs(["poison"], 2000), 0);
  t.same(suspects.list(2000), []);
  t.end();
});

// Guards against a known suspect that is tried again since the table is full.
t.test("a full table takes no more suspects, but renews those that it has", (t) => {
  const suspects = new SuspectTable(() => 0);
  const many = Array.from({ length: 300 }, (_, index) => ({ ...suspicion, part: `part-${index}` }));
  suspects.update(many, 0);
  t.equal(suspects.list(0).length, 256);
  suspects.update([{ ...suspicion, part: "part-0", crashes: 2, leftMs: 120_000 }], 1000);
  t.equal(suspects.getWaitMs(["part-0"], 1000), 120_000);
  t.end();
});

// Guards against memory that callers can fill with parts of their own.
t.test("answered parts are forgotten after five minutes, and the oldest of too many at once", (t) => {
  const answered = new AnsweredCauses();
  answered.note("first", 0);
  t.equal(answered.find("first", 299_000), 0);
  t.equal(answered.find("first", 301_000), null);
  for (let index = 0; index < 5000; index += 1) {
    answered.note(`part-${index}`, 100);
  }
  t.equal(answered.find("first", 100), null);
  t.equal(answered.find("part-4999", 100), 100);
  t.end();
});
