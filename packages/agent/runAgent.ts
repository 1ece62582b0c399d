import type * as z from "zod";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { getProcessSignals } from "@clementinemux/lifecycle/getProcessSignals";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Agent } from "./Agent";
import type { AgentSettings } from "./AgentSettings";

const abortedExitCode = 1;

/**
 * Runs an agent until SIGTERM or SIGINT. It then leaves and exits with 0 once its requests have ended, or
 * with 1 if the deadline aborted some. Further signals change nothing.
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
  await getProcessSignals().setHandler({
    logger,
    stop: async () => ((await agent.leave()) ? 0 : abortedExitCode),
  });
  await agent.start();
}
