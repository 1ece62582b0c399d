import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { RevisionChange } from "@clementinemux/messages/RevisionChange";

type Handler<Kind extends ConfigChangeKind> = (
  config: FleetConfig,
  change: Extract<ConfigChange, { readonly kind: Kind }>,
) => FleetConfig;

const handlers: { readonly [Kind in ConfigChangeKind]: Handler<Kind> } = {
  [ConfigChangeKind.SetDefaults]: (config, { defaults }) => ({ ...config, defaults }),
  [ConfigChangeKind.AddException]: (config, { exception }) => ({
    ...config,
    exceptions: [...config.exceptions.filter(({ id }) => id !== exception.id), exception],
  }),
  [ConfigChangeKind.RemoveException]: (config, { exceptionId }) => ({
    ...config,
    exceptions: config.exceptions.filter(({ id }) => id !== exceptionId),
  }),
  [ConfigChangeKind.DrainTarget]: (config, { target, drain }) => ({
    ...config,
    drains: { ...config.drains, [target]: drain },
  }),
  [ConfigChangeKind.UndrainTarget]: (config, { target }) => ({
    ...config,
    drains: Object.fromEntries(Object.entries(config.drains).filter(([name]) => name !== target)),
  }),
};

/** Returns the configuration after an accepted change. */
export function applyRevisionChange(config: FleetConfig, { revision, change }: RevisionChange): FleetConfig {
  const handler = handlers[change.kind] as Handler<ConfigChangeKind>;
  return { ...handler(config, change), revision };
}
