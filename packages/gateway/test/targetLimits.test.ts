import t from "tap";
import { findMaxWindow } from "../../control/test/findMaxWindow";
import { TestTarget } from "./TestTarget";
import { startGateways } from "./startGateways";

t.setTimeout(90_000);

const limitPerS = 2;
const contactMs = 3000;
const windowMs = 4000;
const maxArrivals = 1.5 * limitPerS * 4 + 5;
const requestGapMs = 25;

interface LimitedTarget {
  readonly target: TestTarget;
  readonly arrivals: number[];
  isLimited: boolean;
}

function createTarget(isLimited: boolean): LimitedTarget {
  const arrivals: number[] = [];
  const limited: LimitedTarget = {
    isLimited,
    arrivals,
    target: new TestTarget(({ id }, socket) => {
      arrivals.push(performance.now());
      const header = limited.isLimited ? `x-limit: ${limitPerS}\r\n` : "";
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${header}content-length: 2\r\n\r\nok`);
    }),
  };
  return limited;
}

/** Arrivals from `contactMs` after the first. */
function skipContact({ arrivals }: LimitedTarget): number[] {
  const [first = 0] = arrivals;
  return arrivals.filter((atMs) => atMs >= first + contactMs);
}

t.test("all gateways together keep to the limit that a target has named", async (t) => {
  const targets = [createTarget(true), createTarget(false)];
  const [limited = createTarget(true)] = targets;
  const { sendFor, stop } = await startGateways(targets);
  const responses = await sendFor(9000, requestGapMs);
  t.ok(responses.every(({ status }) => status === 200));
  const most = findMaxWindow(skipContact(limited), windowMs);
  t.ok(most <= maxArrivals, `${most} requests in 4 s, allowed ${maxArrivals}`);
  limited.isLimited = false;
  await sendFor(2500, requestGapMs);
  limited.arrivals.splice(0);
  await sendFor(2000, requestGapMs);
  t.ok(limited.arrivals.length > 20, `${limited.arrivals.length} requests after the limit has ended`);
  await stop();
});

t.test(
  "with all targets limited, the rest is rejected at once with a Retry-After, through an election",
  async (t) => {
    const targets = [createTarget(true), createTarget(true)];
    const { fleet, sendFor, stop } = await startGateways(targets);
    await sendFor(contactMs, requestGapMs);
    const [served, rejected] = await sendFor(6000, requestGapMs).then((responses) => [
      responses.filter(({ status }) => status === 200),
      responses.filter(({ status }) => status === 503),
    ]);
    const expected = 2 * limitPerS * 6;
    t.ok((served ?? []).length >= 0.8 * expected, `${served?.length} of ${expected} served`);
    t.ok((rejected ?? []).length > 50);
    t.ok((rejected ?? []).every(({ retryAfter }) => Number(retryAfter) > 0));
    await fleet.stop(fleet.leader);
    await sendFor(6000, requestGapMs);
    for (const target of targets) {
      const most = findMaxWindow(skipContact(target), windowMs);
      t.ok(most <= maxArrivals, `${most} requests in 4 s, allowed ${maxArrivals}`);
    }
    await stop();
  },
);
