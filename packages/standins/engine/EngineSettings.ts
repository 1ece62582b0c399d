/** Behaviour of a stand-in engine. */
export interface EngineSettings {
  readonly host: string;
  readonly port: number;
  readonly models: readonly string[];
  readonly tokenIntervalMs: number;
  readonly firstTokenMs: number;
}
