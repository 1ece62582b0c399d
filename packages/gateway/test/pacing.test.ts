import t from "tap";
import { EventPacer } from "@clementinemux/gateway/EventPacer";

const gapObjectiveMs = 120;
const maxHoldMs = 80;

/** Schedules events that arrive with the given gaps. */
function schedule(gapsMs: readonly number[], delayMs = maxHoldMs) {
  const pacer = new EventPacer({ maxHoldMs: delayMs, gapObjectiveMs });
  const arrivals = gapsMs.reduce((times, gapMs) => [...times, (times.at(-1) ?? 0) + gapMs], [0]);
  const forwarded = arrivals.map((atMs) => pacer.schedule(atMs));
  const delays = forwarded.map((atMs, index) => atMs - (arrivals[index] ?? 0));
  const gaps = forwarded.slice(1).map((atMs, index) => atMs - (forwarded[index] ?? 0));
  return { delays, longestGapMs: Math.max(...gaps) };
}

const quick = Array.from({ length: 6 }, () => 70);

// Guards against late streams although only a few passes in a row were slow, as after a shift of popularity.
t.test("slow passes between quick ones leave no long pause", (t) => {
  const slow = Array.from({ length: 6 }, () => 125);
  t.ok(schedule([...quick, ...slow, ...quick]).longestGapMs <= gapObjectiveMs);
  t.ok(schedule([...quick, 190, ...quick]).longestGapMs <= gapObjectiveMs);
  t.ok(schedule([...quick, 125, ...quick], 0).longestGapMs > gapObjectiveMs);
  t.end();
});

// Guards against events that are delayed longer than the limit, a delayed first event, and a further delay of
// an event that is already late.
t.test("no event is delayed longer than the limit", (t) => {
  const { delays } = schedule([1, 1, 1, 70, 70, 400, 70, 5, 5, 120]);
  t.ok(delays.every((delayMs) => delayMs >= 0 && delayMs <= maxHoldMs));
  t.equal(delays[0], 0);
  t.equal(delays[6], 0);
  t.end();
});

t.test("events of routes without an allowed pause are forwarded at once", (t) => {
  const pacer = new EventPacer({ maxHoldMs, gapObjectiveMs: 0 });
  t.same(
    [0, 5, 10].map((atMs) => pacer.schedule(atMs)),
    [0, 5, 10],
  );
  t.end();
});
