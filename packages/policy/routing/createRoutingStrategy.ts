import type { Random } from "@clementinemux/common/Random";
import type { Candidate } from "./Candidate";
import { RoutingKind } from "./RoutingKind";
import type { RoutingStrategy } from "./RoutingStrategy";
import { chooseCloseScore } from "./chooseCloseScore";

const creators: Readonly<Record<RoutingKind, (random: Random) => RoutingStrategy>> = {
  [RoutingKind.Random]: (random) => ({
    usesLoadReports: false,
    choose: (candidates) => pick(candidates, random),
  }),
  [RoutingKind.RoundRobin]: () => {
    let turn = -1;
    return {
      usesLoadReports: false,
      choose: (candidates) => {
        turn += 1;
        return candidates[turn % Math.max(1, candidates.length)] ?? null;
      },
    };
  },
  [RoutingKind.LeastRequests]: () => ({ usesLoadReports: false, choose: findLeastRequests }),
  [RoutingKind.TwoChoices]: (random) => ({
    usesLoadReports: false,
    choose: (candidates) =>
      findLeastRequests(
        [pick(candidates, random), pick(candidates, random)].filter((candidate) => candidate !== null),
      ),
  }),
  [RoutingKind.Full]: (random) => ({
    usesLoadReports: true,
    choose: (candidates) => chooseCloseScore(candidates, random),
  }),
};

export function createRoutingStrategy(kind: RoutingKind, random: Random): RoutingStrategy {
  return creators[kind](random);
}

function pick(candidates: readonly Candidate[], random: Random): Candidate | null {
  return candidates[Math.floor(random() * candidates.length)] ?? null;
}

function findLeastRequests(candidates: readonly Candidate[]): Candidate | null {
  let least: Candidate | null = null;
  for (const candidate of candidates) {
    if (least === null || candidate.target.inFlightCount < least.target.inFlightCount) {
      least = candidate;
    }
  }
  return least;
}
