import type { Random } from "@clementinemux/common/Random";
import type { ChoiceRequest } from "./ChoiceRequest";
import { SizeClass } from "./SizeClass";
import { choiceParameters } from "./choiceParameters";

const sizes = [
  { size: SizeClass.Short, share: 0.4, events: [2, 8], prompt: [60, 400] },
  { size: SizeClass.Medium, share: 0.4, events: [10, 40], prompt: [300, 1300] },
  { size: SizeClass.Long, share: 0.2, events: [40, 90], prompt: [1000, 3500] },
] as const;
const maxFactor = 2.5;
const minMaxTokens = 256;

interface RequestInput {
  readonly nowMs: number;
  /** Standard deviation of the logarithm (base 2) of hint by length; null for requests without a hint. */
  readonly hintError: number | null;
  readonly isMeasured: boolean;
}

/** Draws a request. Its hint is right at the median. */
export function createRequest(random: Random, { nowMs, hintError, isMeasured }: RequestInput): ChoiceRequest {
  const drawn = random();
  const [short, medium, long] = sizes;
  const { size, events, prompt } =
    drawn < short.share ? short : drawn < short.share + medium.share ? medium : long;
  const count = Math.round(drawBetween(random, events));
  const tokens = count * choiceParameters.engine.stride;
  const hint = hintError === null ? 0 : tokens * 2 ** (drawNormal(random) * hintError);
  return {
    size,
    arrivedAtMs: nowMs,
    promptTokens: Math.round(drawBetween(random, prompt)),
    events: count,
    hintTokens: Math.round(hint),
    maxTokens: Math.max(minMaxTokens, Math.round(tokens * maxFactor)),
    isMeasured,
    doneEvents: 0,
    firstAtMs: null,
    lastAtMs: null,
    longestGapMs: 0,
    isRejected: false,
    preemptions: 0,
  };
}

function drawBetween(random: Random, [from, to]: readonly [number, number]): number {
  return from + random() * (to - from);
}

function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
