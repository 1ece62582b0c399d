import { ChoiceKind } from "./ChoiceKind";
import { ChoiceModel } from "./ChoiceModel";
import { SizeClass } from "./SizeClass";
import { summarizeChoice } from "./summarizeChoice";

interface ChoiceBenchOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly requestsPerS: number;
  readonly hintError: number | null;
  readonly durationMs: number;
  readonly ranksPerGroup: number;
  /** Rules to compare; empty for all. */
  readonly only: readonly string[];
}

/** Compares rules for the choice of a target, over all requests and by their size. */
export function runChoiceBench({ only, ...options }: ChoiceBenchOptions): object {
  const kinds = Object.values(ChoiceKind).filter((kind) => only.length === 0 || only.includes(kind));
  const results = kinds.flatMap((kind) => {
    const requests = new ChoiceModel({ ...options, kind }).run();
    const sizes = Object.values(SizeClass).map((size) => ({
      kind,
      size,
      ...summarizeChoice(requests.filter((request) => request.size === size)),
    }));
    return [{ kind, size: "all", ...summarizeChoice(requests) }, ...sizes];
  });
  return { bench: "choice", clock: "virtual", ...options, results };
}
