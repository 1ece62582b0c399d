import type * as z from "zod";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Agent } from "./Agent";
import type { AgentSettings } from "./AgentSettings";

const abortedExitCode = 1;

/**
 * Runs an agent until SIGTERM or SIGINT. It then leaves and exits with 0 once its requests have ended, or
 * with 1 if the deadline aborted some. A second signal makes it exit immediately with 1.
 */
export async function runAgent(settings: z.output<typeof AgentSettings>): Promise<void> {
  const logger = createLogger("clementinemux-agent", { target: settings.target });
  const agent = new Agent(
    settings,
    new SystemClock(),
    (reason, revision) => {
      if (reason === null) {
        logger.info({ revision }, "accepting requests");
      } else {
        logger.warn({ revision, reason }, "rejecting new requests");
      }
    },
    (fields, text) => {
      logger.info({ ...fields }, text);
    },
  );
  let leaving = false;
  const onSignal = (): void => {
    if (leaving) {
      process.exit(abortedExitCode);
    }
    leaving = true;
    void agent.leave().then((isDone) => process.exit(isDone ? 0 : abortedExitCode));
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
  await agent.start();
}
