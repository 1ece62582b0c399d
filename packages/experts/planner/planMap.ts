import type { ExpertMap } from "../ExpertMap";
import { computeSkew } from "../computeSkew";
import type { Plan } from "./Plan";
import type { PlanInput } from "./PlanInput";
import { PlanReason } from "./PlanReason";
import type { SearchStep } from "./SearchStep";
import { chooseSteps } from "./chooseSteps";
import { listMoves } from "./listMoves";
import { moveCosts } from "./moveCosts";
import { searchLayer } from "./searchLayer";

// Keeps the search of a layer with 256 experts on 32 ranks below 50 ms; the next plan takes further steps.
const maxStepsPerLayer = 40;
// A finer balance is within the noise of single steps.
const minToleranceShare = 0.004;

function sumMeanLoad(input: PlanInput): number {
  const total = input.loads.reduce((sum, layer) => sum + layer.reduce((part, load) => part + load, 0), 0);
  return total / input.shape.rankCount;
}

function searchLayers(input: PlanInput): SearchStep[][] {
  const limits = {
    slotsPerRank: input.shape.slotsPerRank,
    maxSteps: input.isBusy || input.maxBytes < input.shape.expertBytes ? 0 : maxStepsPerLayer,
    toleranceShare: Math.max(minToleranceShare, input.errorShare / 2),
    fixedRanks: input.fixedRanks,
  };
  return input.present.layers.map((layer, index) =>
    searchLayer(layer, input.loads[index] ?? new Float64Array(0), input.rankSpeeds, limits),
  );
}

function buildMap(input: PlanInput, layers: readonly SearchStep[][], chosen: readonly number[]): ExpertMap {
  return {
    version: input.present.version + 1,
    layers: input.present.layers.map(
      (present, index) => layers[index]?.[chosen[index] ?? 0]?.layer ?? present,
    ),
  };
}

function getSkew(input: PlanInput, map: ExpertMap): number {
  return computeSkew(map, input.loads, input.shape.rankCount, input.rankSpeeds);
}

interface Candidate {
  readonly map: ExpertMap;
  readonly skew: number;
  readonly bytes: number;
  readonly transferMs: number;
  readonly savedMs: number;
  readonly delayedMs: number;
  readonly moves: Plan["moves"];
  /** Saving minus cost, weighted by the operator's weights. */
  readonly value: number;
}

function evaluate(input: PlanInput, map: ExpertMap, presentSkew: number): Candidate {
  const { weights, shape } = input;
  const skew = getSkew(input, map);
  const moves = listMoves(shape, input.present, map, input.storeBytesPerS);
  const bytes = moves.length * shape.expertBytes;
  const transferMs = (bytes / input.storeBytesPerS) * 1000;
  const delayedMs = transferMs * moveCosts.interferenceShare + moveCosts.activationPauseMs;
  // The map becomes active only after its weights are loaded.
  const remainingMs = Math.max(0, weights.horizonMs - transferMs);
  const savedMs = ((presentSkew - skew) / presentSkew) * remainingMs;
  const value = weights.skewWeight * savedMs - weights.costWeight * delayedMs;
  return { map, skew, bytes, transferMs, savedMs, delayedMs, moves, value };
}

function keepPresent(input: PlanInput, presentSkew: number, splitSkew: number, reason: PlanReason): Plan {
  return {
    reason,
    map: input.present,
    isChanged: false,
    moves: [],
    presentSkew,
    splitSkew,
    predictedSkew: presentSkew,
    bytes: 0,
    transferMs: 0,
    savedMs: 0,
    delayedMs: 0,
  };
}

function getKeepReason(input: PlanInput, presentSkew: number): PlanReason {
  if (presentSkew <= 1 + Math.max(minToleranceShare, input.errorShare / 2)) {
    return PlanReason.Balanced;
  }
  return input.isBusy ? PlanReason.Busy : PlanReason.NotWorthIt;
}

/**
 * Plans the next map. The objective is the predicted step time saved over the horizon times the skew weight,
 * minus the work delayed by the moves times the cost weight. A change of the split alone is preferred unless
 * moves add more value than the hysteresis, and no change is made that saves less than the forecast error.
 */
export function planMap(input: PlanInput): Plan {
  const meanLoad = sumMeanLoad(input);
  const presentSkew = getSkew(input, input.present);
  if (meanLoad === 0) {
    return keepPresent(input, presentSkew, presentSkew, PlanReason.Balanced);
  }
  const layers = searchLayers(input);
  const { weights, shape } = input;
  const pricing = {
    peakValue: (weights.skewWeight * weights.horizonMs) / (meanLoad * presentSkew),
    loadCost:
      (weights.costWeight * moveCosts.interferenceShare * shape.expertBytes * 1000) / input.storeBytesPerS,
    maxLoadedCount: Math.floor(input.maxBytes / shape.expertBytes),
  };
  const splitSteps = layers.map((steps) => (steps[1]?.loadedCount === 0 ? 1 : 0));
  const split = evaluate(input, buildMap(input, layers, splitSteps), presentSkew);
  const chosen = chooseSteps(layers, pricing);
  const moved = evaluate(input, buildMap(input, layers, chosen), presentSkew);
  // Hysteresis: the next plan is likely to undo a change whose saving is within the forecast error.
  const minSavedShare = Math.max(minToleranceShare, input.errorShare / 2) / 2;
  const best = moved.bytes > 0 && isWorthIt(moved, split, minSavedShare) ? moved : split;
  if (best.value <= 0 || (presentSkew - best.skew) / presentSkew < minSavedShare) {
    return keepPresent(input, presentSkew, split.skew, getKeepReason(input, presentSkew));
  }
  return {
    reason: getReason(input, best),
    map: best.map,
    isChanged: true,
    moves: best.moves,
    presentSkew,
    splitSkew: split.skew,
    predictedSkew: best.skew,
    bytes: best.bytes,
    transferMs: best.transferMs,
    savedMs: best.savedMs,
    delayedMs: best.delayedMs,
  };
}

function isWorthIt(moved: Candidate, split: Candidate, minSavedShare: number): boolean {
  return moved.value > Math.max(0, split.value) && (split.skew - moved.skew) / split.skew >= minSavedShare;
}

function getReason(input: PlanInput, best: Candidate): PlanReason {
  if (best.bytes > 0) {
    return PlanReason.Moves;
  }
  return input.isBusy ? PlanReason.SplitOnlyBusy : PlanReason.SplitOnly;
}
