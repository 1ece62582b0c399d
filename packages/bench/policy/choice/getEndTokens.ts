import type { ChoiceRequest } from "./ChoiceRequest";
import { choiceParameters } from "./choiceParameters";

/** Tokens that a request holds at its end. */
export function getEndTokens({ promptTokens, events }: ChoiceRequest): number {
  return promptTokens + events * choiceParameters.engine.stride;
}
