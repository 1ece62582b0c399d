import type { AgentLoad } from "./AgentLoad";

type EngineLoad = Omit<AgentLoad, "ageMs"> & { readonly lagMs: number };

const defaults: EngineLoad = {
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
 * Parses an engine's load report. Returns null for an invalid report, including one without a batch limit: an
 * engine without measurements yet must not look full. Any other missing or invalid field gets its default.
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
    Object.entries(defaults).map(([name, fallback]) => {
      const value = fields[name];
      return [name, typeof value === "number" && Number.isFinite(value) && value >= 0 ? value : fallback];
    }),
  ) as unknown as EngineLoad;
}
