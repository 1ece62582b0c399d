import type { BenchContext } from "./BenchContext";

// One entry's load at design scale: 25 requests/s, with 10,300 tokens/s.
const designRequestsPerS = 25;
const defaultDesignFactor = 10;

/** Loaders of the benches by name. A bench returns its results as a JSON object. */
export const benches: Readonly<
  Record<string, () => Promise<(context: BenchContext) => Promise<object> | object>>
> = {
  /** `--seconds=N --aligned=true --flags="V8 FLAGS"`. */
  agent: async () => {
    const { runAgentStreamBench } = await import("./agent/runAgentStreamBench");
    return ({ programs, options }) =>
      runAgentStreamBench({
        programs,
        eventsPerS: 300,
        streamCount: 10,
        durationMs: Number(options.seconds ?? 10) * 1000,
        aligned: options.aligned === "true",
        flags: readFlags(options.flags),
      });
  },
  /**
   * `--part=NAME` measures only one part. `--fleet=true` measures today's deployment as processes instead.
   */
  capacity: async () => {
    const { runCapacityBench } = await import("./capacity/runCapacityBench");
    return ({ programs, options }) => runCapacityBench(programs, options);
  },
  control: async () => {
    const { runControlBench } = await import("./control/runControlBench");
    return ({ programs }) => runControlBench(programs);
  },
  /** `[FACTOR]`: multiple of the load of one entry at design scale. */
  entry: async () => {
    const { runEntryBench } = await import("./entry/runEntryBench");
    return ({ args }) =>
      runEntryBench({
        latencySeconds: 6,
        requestSeconds: 6,
        tokenSeconds: 10,
        tokenRequestsPerS: designRequestsPerS * Number(args[0] ?? defaultDesignFactor),
      });
  },
  /** `[SCENARIO] --seed=N --out=FOLDER`. */
  experts: async () => {
    const { runExpertsBench } = await import("./experts/runExpertsBench");
    const { writeSkewCharts } = await import("./experts/writeSkewCharts");
    return ({ args, options }) => {
      const result = runExpertsBench(args[0], Number(options.seed ?? 77));
      writeSkewCharts(result.scenarios, options.out);
      return result;
    };
  },
  /** `--seconds=N`. */
  gateway: async () => {
    const { runGatewayBench } = await import("./gateway/runGatewayBench");
    return ({ programs, options }) => runGatewayBench(programs, Number(options.seconds ?? 10));
  },
  /** `--flags="V8 FLAGS"` of the agents. */
  "lead-memory": async () => {
    const { measureLeaderMemory } = await import("./experts/measureLeaderMemory");
    return ({ programs, options }) => measureLeaderMemory(programs, readFlags(options.flags));
  },
  /** `--seconds=N`. */
  limits: async () => {
    const { runLimitsBench } = await import("./limits/runLimitsBench");
    return ({ options }) => runLimitsBench(Number(options.seconds ?? 5));
  },
  membership: async () => {
    const { runMembershipBench } = await import("./membership/runMembershipBench");
    return () => runMembershipBench();
  },
  /**
   * `[RULE]... --seed=N --gateways=N --load=REQUESTS_PER_S --error=OCTAVES|none --group=RANKS --seconds=N`: rules
   * for the choice of a target.
   */
  choice: async () => {
    const { runChoiceBench } = await import("./policy/choice/runChoiceBench");
    return ({ args, options }) =>
      runChoiceBench({
        seed: Number(options.seed ?? 1),
        gateways: Number(options.gateways ?? 13),
        requestsPerS: Number(options.load ?? 190),
        hintError: options.error === "none" ? null : Number(options.error ?? 1),
        durationMs: Number(options.seconds ?? 30) * 1000,
        ranksPerGroup: Number(options.group ?? 24),
        only: args,
      });
  },
  /** `[A|B] [SCENARIO] [POLICY] --seed=N`, `subset`, or `storm --seed=N`. */
  policy: async () => {
    const { runPolicyBench } = await import("./policy/runPolicyBench");
    const { runRetryStorm } = await import("./policy/runRetryStorm");
    const { runSubsetBench } = await import("./policy/runSubsetBench");
    return ({ args, options }) => {
      const seed = Number(options.seed ?? 1);
      const parts: Readonly<Record<string, () => object>> = {
        subset: () => ({ results: runSubsetBench() }),
        storm: () => ({ results: runRetryStorm(seed) }),
      };
      return parts[args[0] ?? ""]?.() ?? runPolicyBench({ seed, only: args });
    };
  },
  removals: async () => {
    const { runRemovalBench } = await import("../../platform/bench/runRemovalBench");
    return () => runRemovalBench();
  },
  /** `--seed=N --seconds=N --out=FOLDER`: days with shifts of expert popularity. */
  shifts: async () => {
    const { runShiftBench } = await import("./shifts/runShiftBench");
    return ({ options }) =>
      runShiftBench(Number(options.seed ?? 1), Number(options.seconds ?? 40) * 1000, options.out);
  },
};

function readFlags(flags: string | undefined): string[] {
  return flags === undefined ? [] : flags.split(" ");
}
