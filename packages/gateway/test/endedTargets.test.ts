import { encode } from "cbor-x";
import fc from "fast-check";
import t from "tap";
import { EndedTargets } from "@clementinemux/gateway/EndedTargets";
import { FleetView } from "@clementinemux/gateway/FleetView";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { createDocument } from "../../routes/test/createDocument";
import { createSyncResponse } from "@clementinemux/standins/gateway/createSyncResponse";
import { TestCodec } from "./TestCodec";

const retentionMs = 600_000;
const unbornRetentionMs = 60_000;
const maxEnds = 24_000;

const response: SyncResponse = createSyncResponse({
  service: "app",
  addresses: ["h:1", "h:2"],
  slots: 1,
  documentVersion: 1,
  document: encode(createDocument(1)),
  ageMs: 0,
});
const [first, second] = response.targets as readonly [TargetRecord, TargetRecord];

function createView(): FleetView {
  const view = new FleetView(new TestCodec());
  view.update(response, 0);
  return view;
}

function listOpen(view: FleetView): string[] {
  return view.listOpenTargets("app").map(({ id }) => id);
}

function update(view: FleetView, parts: Partial<SyncResponse>, nowMs: number): void {
  view.update({ ...response, document: null, ...parts }, nowMs);
}

// Guards against coordinators that have forgotten an end and list its target again.
t.test("a list does not bring back a target that has unregistered", (t) => {
  const view = createView();
  update(view, { targets: [second], ended: [first] }, 100);
  t.same(listOpen(view), [second.id]);
  for (const [at, isComplete] of [true, false].entries()) {
    update(view, { targets: [{ ...first, sequence: 99 }, second], isComplete }, 200 + at);
    t.same(listOpen(view), [second.id], `complete: ${isComplete}`);
    t.equal(view.endedListed, 1);
  }
  const next = { ...first, bornMs: first.bornMs + 1, sequence: 1 };
  update(view, { targets: [next, second] }, 300);
  t.same(listOpen(view).sort(), [first.id, second.id].sort(), "its next incarnation is used at once");
  t.equal(view.endedListed, 0);
  t.end();
});

// Guards against a target that an incomplete list does not name, and that stays in use although its end was told.
t.test("an end that is told with an incomplete list takes effect", (t) => {
  const view = createView();
  update(view, { targets: [], ended: [first], isComplete: false }, 100);
  t.same(listOpen(view), [second.id]);
  t.end();
});

// Guards against a drain that is forgotten, and against one that cannot be taken back.
t.test("a drain holds until a later heartbeat takes it back", (t) => {
  const view = createView();
  update(view, { targets: [{ ...first, sequence: 7, isDraining: true }, second] }, 100);
  update(view, { targets: [{ ...first, sequence: 6 }, second] }, 200);
  t.same(listOpen(view), [second.id], "a late heartbeat from before the drain");
  update(view, { targets: [{ ...first, sequence: 8 }, second] }, 300);
  t.same(listOpen(view).sort(), [first.id, second.id].sort(), "a drain that is taken back");
  update(view, { targets: [second], ended: [first] }, 400);
  update(view, { targets: [{ ...first, sequence: 9 }, second] }, 500);
  t.same(listOpen(view), [second.id], "not taken back once it has unregistered");
  t.end();
});

// Guards against a gateway whose memory grows with each target that ends.
t.test("ends are bounded in number and time", (t) => {
  const ended = new EndedTargets();
  for (let at = 0; at < maxEnds + 10; at += 1) {
    ended.learnGone({ id: `t-${at}`, bornMs: 5 }, 0);
  }
  t.equal(ended.size, maxEnds);
  const record = (id: string, bornMs: number): TargetRecord => ({ ...first, id, bornMs });
  t.ok(ended.check(record("t-0", 5), 0), "the oldest is dropped");
  t.equal(ended.check(record("t-100", 5), retentionMs), null);
  t.ok(ended.check(record("t-100", 5), retentionMs + 1));
  ended.learnGone({ id: "unborn", bornMs: 0 }, 0);
  t.equal(ended.check(record("unborn", 0), unbornRetentionMs), null);
  t.ok(ended.check(record("unborn", 0), unbornRetentionMs + 1), "its next incarnation looks the same");
  t.end();
});

// Guards against an order of lists, late or of forgetful coordinators, that brings back what has ended.
t.test("no order of lists brings back an ended incarnation", (t) => {
  const step = fc.record({
    bornMs: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 1, max: 4 }),
    kind: fc.constantFrom("ready", "draining", "gone"),
  });
  const property = fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const ended = new EndedTargets();
    const goneBorns: number[] = [];
    const drains = new Map<number, number>();
    for (const [nowMs, { bornMs, sequence, kind }] of steps.entries()) {
      if (kind === "gone") {
        ended.learnGone({ id: first.id, bornMs }, nowMs);
        goneBorns.push(bornMs);
        continue;
      }
      const checked = ended.check({ ...first, bornMs, sequence, isDraining: kind === "draining" }, nowMs);
      const isOpen = checked !== null && !checked.isDraining;
      const mustEnd =
        goneBorns.some((born) => born >= bornMs) || [...drains.keys()].some((born) => born > bornMs);
      const mustDrain = kind === "draining" || sequence <= (drains.get(bornMs) ?? 0);
      if (isOpen !== (!mustEnd && !mustDrain)) {
        throw new Error(`open: ${isOpen}`);
      }
      if (kind === "draining" && !mustEnd) {
        drains.set(bornMs, Math.max(sequence, drains.get(bornMs) ?? 0));
      }
    }
  });
  t.doesNotThrow(() => {
    fc.assert(property, { seed: 47, numRuns: 3000 });
  });
  t.end();
});
