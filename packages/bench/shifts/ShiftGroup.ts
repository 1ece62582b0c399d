import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { measureSkew } from "@clementinemux/experts/hold/measureSkew";
import { shiftParameters } from "./shiftParameters";

type MutableRank = { -readonly [Key in keyof RankHoldState]: RankHoldState[Key] };

const { ranks: rankCount, stride, stepMs, perSequenceMs, promptTokensPerMs, experts } = shiftParameters;
const uniformSlowdowns = Array.from({ length: rankCount }, () => 1);
const bitsPerByte = 8;

/**
 * Model of a rank group. The pass time depends on the map, the demand and the running requests. Takes the
 * current time as a parameter.
 */
export class ShiftGroup {
  readonly ranks: MutableRank[];
  readonly counts = new Float64Array(experts.layerSets * experts.expertsPerSet);
  hosting: RankHosting = createRoundRobinHosting(experts.layerSets, experts.expertsPerSet, rankCount);
  copies = 0;
  #prepared: { readonly version: number; readonly hosting: RankHosting; readonly readyAtMs: number } | null =
    null;
  #blockedPasses = 0;

  constructor() {
    this.ranks = Array.from({ length: rankCount }, (_, rank) => ({
      rank,
      epoch: 1,
      isOpen: true,
      step: 0,
      mapVersion: 0,
      preparedVersion: null,
      armed: null,
      heldStep: null,
    }));
  }

  /** Attempts to begin a pass that failed because the group was paused at a step barrier. */
  get blockedPasses(): number {
    return this.#blockedPasses;
  }

  /** Placement of the map that is being copied or is prepared; null for none. */
  get preparedHosting(): RankHosting | null {
    return this.#prepared?.hosting ?? null;
  }

  order(order: HoldOrder, nowMs: number): boolean {
    const rank = this.ranks[order.rank];
    if (rank === undefined) {
      return false;
    }
    switch (order.kind) {
      case HoldOrderKind.Prepare:
        this.#prepare(order.version, order.hosting, nowMs);
        return true;
      case HoldOrderKind.Hold:
        if (order.step <= rank.step) {
          return false;
        }
        rank.heldStep = order.step;
        return true;
      case HoldOrderKind.Arm:
        if (order.step <= rank.step) {
          return false;
        }
        rank.armed = { version: order.version, step: order.step };
        return true;
      case HoldOrderKind.Disarm:
        rank.armed = null;
        return true;
      case HoldOrderKind.Go:
        rank.heldStep = null;
        return true;
    }
  }

  /** Returns the state of a rank, and first marks the map as prepared if its copy is complete. */
  inspect(rank: number, nowMs: number): RankHoldState | null {
    const state = this.ranks[rank];
    if (state === undefined) {
      return null;
    }
    if (this.#prepared !== null && this.#prepared.readyAtMs <= nowMs) {
      state.preparedVersion = this.#prepared.version;
    }
    return { ...state };
  }

  /** Begins the next pass. Returns its duration, or null while the group is paused at a step barrier. */
  beginPass(
    loads: readonly Float64Array[],
    running: number,
    newTokens: number,
    nowMs: number,
  ): number | null {
    const step = (this.ranks[0]?.step ?? 0) + 1;
    if (this.ranks.some(({ heldStep }) => heldStep === step)) {
      this.#blockedPasses += 1;
      return null;
    }
    const isSwitching = this.ranks.every(({ armed }) => armed?.step === step);
    for (const rank of this.ranks) {
      rank.step = step;
      if (isSwitching && rank.armed !== null) {
        rank.mapVersion = rank.armed.version;
        rank.preparedVersion = null;
        rank.armed = null;
      }
    }
    if (isSwitching && this.#prepared !== null) {
      this.hosting = this.#prepared.hosting;
      this.#prepared = null;
    }
    this.#count(loads, running);
    const isCopying = this.#prepared !== null && this.#prepared.readyAtMs > nowMs;
    return this.#getPassMs(loads, running, newTokens) * (isCopying ? shiftParameters.copyFactor : 1);
  }

  #getPassMs(loads: readonly Float64Array[], running: number, newTokens: number): number {
    const { expertShare } = experts;
    const skew = measureSkew(this.hosting, loads, uniformSlowdowns);
    const perStepMs = (running / rankCount) * perSequenceMs * (1 - expertShare + expertShare * skew);
    return stride * (stepMs + perStepMs) + newTokens / promptTokensPerMs;
  }

  #count(loads: readonly Float64Array[], running: number): void {
    const choices = (running * shiftParameters.choicesPerPass) / experts.layerSets;
    for (const [set, shares] of loads.entries()) {
      for (const [expert, share] of shares.entries()) {
        const index = set * experts.expertsPerSet + expert;
        this.counts[index] = (this.counts[index] ?? 0) + Math.round(share * choices);
      }
    }
  }

  #prepare(version: number, hosting: RankHosting, nowMs: number): void {
    if (this.#prepared?.version === version) {
      return;
    }
    const newCounts = Array.from({ length: rankCount }, (_, rank) =>
      hosting.reduce(
        (sum, ranks, set) => sum + countNew(ranks[rank] ?? [], this.hosting[set]?.[rank] ?? []),
        0,
      ),
    );
    this.copies += newCounts.reduce((sum, count) => sum + count, 0);
    const copyMs = (Math.max(...newCounts) * experts.expertMb * bitsPerByte * 1000) / experts.linkMbps;
    this.#prepared = { version, hosting, readyAtMs: nowMs + copyMs };
  }
}

function countNew(after: readonly number[], before: readonly number[]): number {
  return after.filter((expert) => !before.includes(expert)).length;
}
