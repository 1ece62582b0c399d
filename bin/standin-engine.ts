import * as z from "zod";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";
import { EngineServer } from "@clementinemux/standins/engine/EngineServer";

const timeMs = z.number().min(0).max(60_000);

const EngineSettings = z.strictObject({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(1).max(65_535),
  models: z.array(z.string()),
  tokenIntervalMs: timeMs,
  firstTokenMs: timeMs,
  batchLimitCount: z.number().int().min(1).max(65_536).default(64),
  stepPerRequestMs: timeMs.default(0),
  prefillPerThousandMs: timeMs.default(0),
  prefixCacheBlocks: z.number().int().min(1).max(1_000_000).default(4096),
  reportLagMs: timeMs.default(0),
  cacheEventDelayMs: timeMs.default(0),
  cacheEventLossShare: z.number().min(0).max(1).default(0),
  resumeWindowMs: timeMs.default(5000),
  checksFencing: z.boolean().default(false),
  seed: z.number().int().default(1),
});

startFromSettings("standin-engine", EngineSettings, async (settings) => {
  await new EngineServer(settings).listen();
});
