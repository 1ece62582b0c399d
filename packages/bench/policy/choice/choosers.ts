import type { Random } from "@clementinemux/common/Random";
import { chooseByFinish } from "@clementinemux/gateway/chooseByFinish";
import { chooseByFreeSlots } from "@clementinemux/gateway/chooseByFreeSlots";
import { ChoiceKind } from "./ChoiceKind";
import type { ModelCandidate } from "./ModelCandidate";

type Chooser = (candidates: readonly ModelCandidate[], random: Random) => string | null;

/** Rules for the choice of a target by their kind. */
export const choosers: Readonly<Record<ChoiceKind, Chooser>> = {
  [ChoiceKind.FreeSlots]: (candidates, random) => chooseByFreeSlots(candidates, 0, random),
  [ChoiceKind.Requests]: chooseLeast(({ load }) => load),
  [ChoiceKind.LeastWork]: chooseLeast(({ leftMs }) => leftMs),
  [ChoiceKind.Earliest]: chooseLeast(({ finishMs }) => finishMs),
  [ChoiceKind.TwoByRequests]: chooseOfTwo(({ load }) => load),
  [ChoiceKind.TwoByWork]: chooseOfTwo(({ leftMs }) => leftMs),
  [ChoiceKind.ExpectedWork]: (candidates, random) =>
    chooseByFinish(candidates, (candidate) => candidate, random),
  [ChoiceKind.Perfect]: chooseLeast(({ finishMs }) => finishMs),
};

function listOpen(candidates: readonly ModelCandidate[]): readonly ModelCandidate[] {
  const open = candidates.filter(({ load, slots }) => load < slots);
  const fitting = open.filter(({ hasMemory }) => hasMemory);
  return fitting.length > 0 ? fitting : open;
}

/** Ties are broken at random. */
function chooseLeast(getCost: (candidate: ModelCandidate) => number): Chooser {
  return (candidates, random) => {
    const open = listOpen(candidates);
    const least = open.reduce((min, candidate) => Math.min(min, getCost(candidate)), Infinity);
    const best = open.filter((candidate) => getCost(candidate) === least);
    return best[Math.floor(random() * best.length)]?.id ?? null;
  };
}

function chooseOfTwo(getCost: (candidate: ModelCandidate) => number): Chooser {
  return (candidates, random) => {
    const open = listOpen(candidates);
    const draw = (): ModelCandidate | undefined => open[Math.floor(random() * open.length)];
    const [first, second] = [draw(), draw()];
    if (first === undefined || second === undefined) {
      return null;
    }
    return getCost(first) <= getCost(second) ? first.id : second.id;
  };
}
