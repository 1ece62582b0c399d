import t from "tap";
import type { CandidateRequest } from "@clementinemux/crashes/CandidateRequest";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import { CrashLedger } from "@clementinemux/crashes/CrashLedger";
import type { CrashReport } from "@clementinemux/crashes/CrashReport";

const nothing: CrashEvidence = { reports: [], answered: [], suspicions: [] };
/** Later than the attribution of a crash at 0. */
const attributedMs = 1300;

function request(name: string, parts: readonly string[] = [], hasBegun = false): CandidateRequest {
  return { key: `request/${name}`, parts, hasBegun };
}

interface CrashInput {
  readonly id: string;
  readonly atMs: number;
  readonly requests: readonly CandidateRequest[];
  readonly isIsolated?: boolean;
}

function createReport({ id, requests, isIsolated = true }: CrashInput): CrashReport {
  const parts = requests.filter(({ hasBegun }) => !hasBegun).flatMap((candidate) => candidate.parts);
  return { target: { id, bornMs: 1 }, ageMs: 0, parts, requests, service: "app", isIsolated };
}

function crash(ledger: CrashLedger, input: CrashInput): void {
  ledger.merge({ ...nothing, reports: [createReport(input)] }, input.atMs);
}

function clear(ledger: CrashLedger, part: string, atMs: number): void {
  ledger.merge({ ...nothing, answered: [{ part, ageMs: 0 }] }, atMs);
}

function listSuspects(ledger: CrashLedger, nowMs: number): string[] {
  ledger.review(nowMs);
  const { suspicions } = ledger.getFindings(nowMs);
  return suspicions.filter(({ isLifted }) => !isLifted).map(({ part }) => part.replace("request/", ""));
}

// Guards against a third target that crashes before the verdict, and against a verdict after one crash of many targets.
t.test("a request at two crashes is suspected at once, whatever the times between them", (t) => {
  for (const gapMs of [60, 5000, 30_000, 300_000]) {
    const ledger = new CrashLedger();
    crash(ledger, { id: "t-1", atMs: 0, requests: [request("deadly"), request("sound")] });
    t.same(listSuspects(ledger, Math.min(gapMs - 1, attributedMs)), []);
    clear(ledger, "request/sound", gapMs - 10);
    crash(ledger, { id: "t-2", atMs: gapMs, requests: [request("deadly"), request("other")] });
    t.same(listSuspects(ledger, gapMs), ["deadly"], `${gapMs} ms`);
  }
  t.end();
});

// Guards against twenty sound requests that are refused since one of them may have been the cause.
t.test("what two crashes have in common is suspected, and nothing if they have nothing in common", (t) => {
  const others = (from: number): CandidateRequest[] =>
    Array.from({ length: 20 }, (_, index) => request(`${from + index}`, ["shared"]));
  const ledger = new CrashLedger();
  crash(ledger, { id: "t-1", atMs: 0, requests: [...others(0), request("deadly", ["shared"])] });
  clear(ledger, "shared", 500);
  crash(ledger, { id: "t-2", atMs: 4000, requests: others(100) });
  clear(ledger, "shared", 4500);
  t.same(listSuspects(ledger, 4000 + attributedMs), []);
  crash(ledger, { id: "t-3", atMs: 8000, requests: [request("deadly", ["shared"]), ...others(200)] });
  clear(ledger, "shared", 8500);
  t.same(listSuspects(ledger, 8000 + attributedMs), ["deadly"]);
  t.end();
});

// Guards against requests that are suspected as the targets of a rack, or all ranks of a group, end together.
t.test("a mass crash makes nobody a suspect, not even what was sent again within it", (t) => {
  for (const isIsolated of [true, false]) {
    const ledger = new CrashLedger();
    for (let index = 0; index < 6; index += 1) {
      const retried = index < 2 ? [request("retried")] : [];
      const requests = [request(`r-${index}`, [`part-${index}`]), ...retried];
      crash(ledger, { id: `t-${index}`, atMs: index * 20, requests, isIsolated });
    }
    t.same(listSuspects(ledger, attributedMs + 100), [], `isolated: ${isIsolated}`);
  }
  t.end();
});

// Guards against a request that takes down a rank group three times before it is known.
t.test("one crash of a rank group makes its few unanswered requests suspects", (t) => {
  const ledger = new CrashLedger();
  const requests = [request("deadly"), request("known"), request("begun", [], true)];
  clear(ledger, "request/known", -60_000);
  crash(ledger, { id: "t-1", atMs: 0, requests, isIsolated: false });
  t.same(ledger.getFindings(0).watched, ["request/deadly", "request/known", "request/begun"]);
  t.same(listSuspects(ledger, 1000), [], "not before the gateways have answered");
  t.same(listSuspects(ledger, attributedMs), ["deadly"]);
  t.end();
});

// Guards against many requests that are refused for one crash of a group.
t.test("a crash of a rank group with many unanswered requests makes none of them a suspect", (t) => {
  const ledger = new CrashLedger();
  const requests = Array.from({ length: 20 }, (_, index) => request(`${index}`));
  crash(ledger, { id: "t-1", atMs: 0, requests, isIsolated: false });
  t.same(listSuspects(ledger, attributedMs), []);
  crash(ledger, { id: "t-2", atMs: 5000, requests: [request("7"), request("new")], isIsolated: false });
  t.ok(listSuspects(ledger, 5000).includes("7"));
  t.end();
});

// Guards against parts and requests that stay suspects for crashes which another request explains.
t.test("a request that was at all crashes clears the suspects of the first one", (t) => {
  const ledger = new CrashLedger();
  const sound = request("sound", ["rare"]);
  crash(ledger, { id: "t-1", atMs: 0, requests: [request("deadly"), sound], isIsolated: false });
  t.same(listSuspects(ledger, attributedMs).sort(), ["deadly", "rare", "sound"]);
  crash(ledger, { id: "t-2", atMs: 4000, requests: [request("deadly")], isIsolated: false });
  t.same(listSuspects(ledger, 4000 + attributedMs), ["deadly"]);
  const lifted = ledger.getFindings(5300).suspicions.filter(({ isLifted }) => isLifted);
  t.equal(lifted.length, 2, "the gateways are told");
  t.end();
});

// Guards against a sound request beside the cause that clears it.
t.test(
  "of two requests at the same crashes none clears the other, and both are held for a short time",
  (t) => {
    const ledger = new CrashLedger();
    const both = [request("deadly"), request("sound")];
    crash(ledger, { id: "t-1", atMs: 0, requests: both });
    crash(ledger, { id: "t-2", atMs: 60, requests: both });
    t.same(listSuspects(ledger, 60).sort(), ["deadly", "sound"]);
    t.same(listSuspects(ledger, 20_000), []);
    clear(ledger, "request/sound", 21_000);
    crash(ledger, { id: "t-3", atMs: 22_000, requests: [request("deadly")] });
    t.same(listSuspects(ledger, 22_000), ["deadly"], "one more crash suffices");
    t.same(listSuspects(ledger, 22_000 + 500_000), ["deadly"], "for longer");
    t.end();
  },
);

// Guards against a part that crashes plain model runners with each new request, of which none comes again.
t.test("a part that different deadly requests have in common is suspected", (t) => {
  const ledger = new CrashLedger();
  clear(ledger, "shared", -1000);
  crash(ledger, { id: "t-1", atMs: 0, requests: [request("a", ["shared", "poison"])] });
  crash(ledger, { id: "t-2", atMs: 60, requests: [request("a", ["shared", "poison"])] });
  clear(ledger, "shared", 1000);
  t.same(listSuspects(ledger, 60 + attributedMs), ["a"]);
  crash(ledger, { id: "t-3", atMs: 5000, requests: [request("b", ["shared", "poison"])] });
  clear(ledger, "shared", 5500);
  t.same(listSuspects(ledger, 5000 + attributedMs).sort(), ["a", "poison"]);
  t.end();
});

// Guards against a part in wide use that is taken from all its callers, since two deadly requests have it.
t.test("two deadly requests by turns are both found, and not what they share with sound ones", (t) => {
  const ledger = new CrashLedger();
  for (let turn = 0; turn < 4; turn += 1) {
    const atMs = turn * 4000;
    const requests = [request(turn % 2 === 0 ? "a" : "b", ["shared"])];
    clear(ledger, "shared", atMs - 500);
    crash(ledger, { id: `t-${turn}`, atMs, requests });
    ledger.review(atMs + attributedMs);
  }
  clear(ledger, "shared", 13_000);
  t.same(listSuspects(ledger, 12_000 + attributedMs).sort(), ["a", "b"]);
  t.end();
});

// Guards against an answer that is not believed, as after a release that mends the fault.
t.test("an answer lifts the suspicion of a request, and it takes two more crashes to bring it back", (t) => {
  const ledger = new CrashLedger();
  crash(ledger, { id: "t-1", atMs: 0, requests: [request("a")] });
  crash(ledger, { id: "t-2", atMs: 60, requests: [request("a")] });
  clear(ledger, "request/a", 130_000);
  t.same(listSuspects(ledger, 130_000), []);
  crash(ledger, { id: "t-3", atMs: 140_000, requests: [request("a")] });
  t.same(listSuspects(ledger, 140_000 + attributedMs), []);
  crash(ledger, { id: "t-4", atMs: 150_000, requests: [request("a")] });
  t.same(listSuspects(ledger, 150_000), ["a"]);
  t.end();
});

// Guards against a verdict that is lost with the process that has reached it, and against crashes that count twice.
t.test("a coordinator that starts anew learns a verdict, and one more crash renews it once", (t) => {
  const first = new CrashLedger();
  crash(first, { id: "t-1", atMs: 0, requests: [request("a")] });
  crash(first, { id: "t-2", atMs: 60, requests: [request("a")] });
  const second = new CrashLedger();
  second.merge({ ...nothing, suspicions: first.getFindings(1000).suspicions }, 1000);
  t.same(listSuspects(second, 1000), ["a"]);
  const ledgers = [first, second];
  ledgers.forEach((ledger) => {
    crash(ledger, { id: "t-3", atMs: 5000, requests: [request("a")] });
  });
  for (let atMs = 5000; atMs < 15_000; atMs += 200) {
    first.merge(second.getEvidence(atMs), atMs + 50);
    second.merge(first.getEvidence(atMs), atMs + 50);
    ledgers.forEach((ledger) => ledger.review(atMs + 100));
  }
  for (const ledger of ledgers) {
    t.match(ledger.getFindings(15_000).suspicions, [{ crashes: 2 }]);
  }
  t.end();
});

// Guards against requests of one crash that different gateways saw, and of which each names its own only.
t.test("the reports of several gateways are put together, in any order", (t) => {
  const ledger = new CrashLedger();
  crash(ledger, { id: "t-1", atMs: 0, requests: [request("sound-1")] });
  crash(ledger, { id: "t-2", atMs: 3000, requests: [request("sound-2")] });
  crash(ledger, { id: "t-2", atMs: 3100, requests: [request("a")] });
  t.same(listSuspects(ledger, 3100), []);
  crash(ledger, { id: "t-1", atMs: 3200, requests: [request("a")] });
  t.same(listSuspects(ledger, 3200), ["a"]);
  t.end();
});

// Guards against verdicts and first crashes that callers push out of memory with requests that never come again.
t.test("a thousand unique requests displace neither a suspect nor what was at a crash lately", (t) => {
  const ledger = new CrashLedger();
  crash(ledger, { id: "t-1", atMs: 0, requests: [request("convicted")] });
  crash(ledger, { id: "t-2", atMs: 60, requests: [request("convicted")] });
  let index = 0;
  const crashMany = (fromMs: number): void => {
    for (let at = 0; at < 50; at += 1) {
      const requests = Array.from({ length: 20 }, () => request(`unique-${(index += 1)}`));
      crash(ledger, { id: `m-${index}`, atMs: fromMs + at * 1000, requests });
      ledger.review(fromMs + at * 1000);
    }
  };
  crashMany(30_000);
  crash(ledger, { id: "t-3", atMs: 81_000, requests: [request("once")] });
  crashMany(82_000);
  t.ok(listSuspects(ledger, 110_000).includes("convicted"));
  crash(ledger, { id: "t-4", atMs: 134_000, requests: [request("once")] });
  t.ok(listSuspects(ledger, 134_000).includes("once"));
  const { reports, suspicions } = ledger.getEvidence(134_000);
  t.ok(reports.length <= 64 && suspicions.length <= 256);
  t.end();
});

// Guards against a gateway that spreads suspicions which the answers at other gateways refute.
t.test("one gateway's evidence alone shows requests at two crashes, and no parts", (t) => {
  const ledger = new CrashLedger({ isLocal: true });
  crash(ledger, { id: "t-1", atMs: 0, requests: [request("a", ["part"])], isIsolated: false });
  t.same(listSuspects(ledger, attributedMs), []);
  crash(ledger, { id: "t-2", atMs: 5000, requests: [request("a", ["part"])], isIsolated: false });
  t.same(listSuspects(ledger, 5000 + attributedMs), ["a"]);
  t.end();
});

// Guards against a request in wide use that is refused to all since two targets of a rack crashed while it was at both.
t.test("a request that was answered before needs crashes at different times", (t) => {
  const ledger = new CrashLedger();
  const popular = { ...request("popular"), answeredMs: 200 };
  crash(ledger, { id: "t-1", atMs: 0, requests: [popular] });
  crash(ledger, { id: "t-2", atMs: 60, requests: [popular] });
  crash(ledger, { id: "t-3", atMs: 900, requests: [popular] });
  t.same(listSuspects(ledger, 900 + attributedMs), [], "a rack");
  clear(ledger, "request/popular", 3000);
  crash(ledger, { id: "t-4", atMs: 8000, requests: [request("popular")] });
  t.same(listSuspects(ledger, 8000 + attributedMs), [], "answered in between");
  crash(ledger, { id: "t-5", atMs: 8060, requests: [request("popular")] });
  t.same(listSuspects(ledger, 8060 + attributedMs), []);
  crash(ledger, { id: "t-6", atMs: 12_000, requests: [request("popular")] });
  t.same(listSuspects(ledger, 12_000), ["popular"], "sound before, and deadly now");
  t.end();
});

// Guards against a request in wide use that is suspected since two others crashed their targets at the same time.
t.test("a request that was at two targets before the first of them crashed is no suspect", (t) => {
  const ledger = new CrashLedger();
  const popular = { ...request("popular"), sentMs: 40 };
  crash(ledger, { id: "t-1", atMs: 0, requests: [{ ...request("a"), sentMs: 60 }, popular] });
  crash(ledger, { id: "t-2", atMs: 15, requests: [{ ...request("b"), sentMs: 60 }, popular] });
  t.same(listSuspects(ledger, 15), []);
  crash(ledger, { id: "t-3", atMs: 90, requests: [{ ...request("a"), sentMs: 60 }] });
  t.same(listSuspects(ledger, 90), ["a"], "it was sent after its first crash");
  t.end();
});

// Guards against a request in wide use that was at both crashes of a deadly one, and is suspected after it was found.
t.test("a request at crashes that a suspected one explains is no suspect", (t) => {
  const ledger = new CrashLedger();
  crash(ledger, { id: "t-1", atMs: 0, requests: [request("a")] });
  crash(ledger, { id: "t-2", atMs: 60, requests: [request("a")] });
  crash(ledger, { id: "t-1", atMs: 70, requests: [request("popular")] });
  crash(ledger, { id: "t-2", atMs: 80, requests: [request("popular")] });
  t.same(listSuspects(ledger, 80), ["a"]);
  crash(ledger, { id: "t-3", atMs: 5000, requests: [request("popular")] });
  t.same(listSuspects(ledger, 5000), ["popular"], "a further crash that the other does not explain");
  t.end();
});

// Guards against a restarted coordinator that suspects what was answered between the crashes that it is told of.
t.test("a coordinator that starts anew counts no crashes from before an answer", (t) => {
  const first = new CrashLedger();
  const requests = [request("popular")];
  crash(first, { id: "t-1", atMs: 0, requests });
  clear(first, "request/popular", 1000);
  crash(first, { id: "t-2", atMs: 3000, requests });
  clear(first, "request/popular", 3500);
  t.same(listSuspects(first, 3500), []);
  const second = new CrashLedger();
  second.merge(first.getEvidence(4000), 4000);
  t.same(listSuspects(second, 4000), []);
  t.end();
});
