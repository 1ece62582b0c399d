import t from "tap";
import { ChoiceKind } from "@clementinemux/bench/policy/choice/ChoiceKind";
import { ChoiceModel } from "@clementinemux/bench/policy/choice/ChoiceModel";
import { SizeClass } from "@clementinemux/bench/policy/choice/SizeClass";
import { summarizeChoice } from "@clementinemux/bench/policy/choice/summarizeChoice";

const day = { requestsPerS: 190, hintError: 1, durationMs: 16_000, ranksPerGroup: 24, seed: 2 };

// Guards against herds: gateways that see each other up to 0.5 s late and all send to the target that looks best.
for (const gateways of [13, 68]) {
  t.test(`${gateways} gateways do not overload the targets that look best`, (t) => {
    const run = (kind: ChoiceKind) => {
      const requests = new ChoiceModel({ ...day, kind, gateways }).run();
      const short = requests.filter(({ size }) => size === SizeClass.Short);
      return { all: summarizeChoice(requests), short: summarizeChoice(short) };
    };
    const byWork = run(ChoiceKind.ExpectedWork);
    const byFreeSlots = run(ChoiceKind.FreeSlots);
    const earliest = run(ChoiceKind.Earliest);
    t.ok(byWork.all.onTimeShare > earliest.all.onTimeShare + 0.1, "a herd would serve fewer in time");
    t.ok(byWork.all.onTimeShare > byFreeSlots.all.onTimeShare, `${byFreeSlots.all.onTimeShare}`);
    t.ok(byWork.short.firstP99Ms < byFreeSlots.short.firstP99Ms, "short requests beside long ones");
    t.ok(byWork.all.onTimeShare > 0.93, `${byWork.all.onTimeShare}`);
    t.end();
  });
}
