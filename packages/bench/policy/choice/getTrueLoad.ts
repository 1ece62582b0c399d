import type { TargetLoad } from "@clementinemux/cost/TargetLoad";
import { computeEngineWork } from "@clementinemux/cost/computeEngineWork";
import type { RankModel } from "./RankModel";
import { choiceParameters } from "./choiceParameters";

const { engine } = choiceParameters;

/** Present load of a rank, by the true lengths of its requests. */
export function getTrueLoad({ requests }: RankModel): TargetLoad {
  let leftMs = 0;
  let prefillMs = 0;
  for (const request of requests) {
    const work = computeEngineWork(engine, request.promptTokens, request.events * engine.stride);
    const ownPrefillMs = request.doneEvents === 0 ? work.prefillMs : 0;
    prefillMs += ownPrefillMs;
    leftMs += ownPrefillMs + work.decodeMs * (1 - request.doneEvents / request.events);
  }
  return { requests: requests.length, leftMs, prefillMs };
}
