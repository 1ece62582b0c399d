import type * as z from "zod";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Agent } from "./Agent";
import type { AgentSettings } from "./AgentSettings";

const cutOffExitCode = 1;

/**
 * Runs an agent until SIGTERM or SIGINT: it then leaves and exits with 0 once its requests have ended, or with
 * 1 when the deadline cut some off. A second signal ends it at once, with 1.
 */
export async function runAgent(settings: z.output<typeof AgentSettings>): Promise<void> {
  const logger = createLogger("clementinemux-agent", { target: settings.target });
  const agent = new Agent(
    settings,
    new SystemClock(),
    (reason, revision) => {
      if (reason === null) {
        logger.info({ revision }, "accepting work");
      } else {
        logger.warn({ revision, reason }, "refusing new work");
      }
    },
    (fields, text) => {
      logger.info({ ...fields }, text);
    },
  );
  let leaving = false;
  const onSignal = (): void => {
    if (leaving) {
      process.exit(cutOffExitCode);
    }
    leaving = true;
    void agent.leave().then((isDone) => process.exit(isDone ? 0 : cutOffExitCode));
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
  await agent.start();
}
