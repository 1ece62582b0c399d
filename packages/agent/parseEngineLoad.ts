import type { AgentLoad } from "./AgentLoad";

type EngineLoad = Omit<AgentLoad, "ageMs"> & { readonly lagMs: number };

const fallbacks: EngineLoad = {
  lagMs: 0,
  runningCount: 0,
  queuedCount: 0,
  runningTokenCount: 0,
  batchLimitCount: 0,
  stepMs: 0,
  kvFreeShare: 1,
  groupSkew: 1,
};

/**
 * Reads an engine's load report; null when it is none. Without a batch limit it is none: an engine that has not
 * measured itself yet must not look full. Any other field that is missing or no number is replaced.
 */
export function parseEngineLoad(text: string): EngineLoad | null {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return null;
  }
  if (typeof body !== "object" || body === null) {
    return null;
  }
  const fields = body as Record<string, unknown>;
  if (typeof fields.batchLimitCount !== "number" || !(fields.batchLimitCount > 0)) {
    return null;
  }
  return Object.fromEntries(
    Object.entries(fallbacks).map(([name, fallback]) => {
      const value = fields[name];
      return [name, typeof value === "number" && Number.isFinite(value) && value >= 0 ? value : fallback];
    }),
  ) as unknown as EngineLoad;
}
