import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { ConfigChange } from "./ConfigChange";
import { ConfigChangeKind } from "./ConfigChangeKind";
import type { FleetConfig } from "./FleetConfig";

/** Applies a change as the next revision. The left side is the reason why the change cannot be applied. */
export function applyConfigChange(config: FleetConfig, change: ConfigChange): Either<string, FleetConfig> {
  const next = { ...config, revision: config.revision + 1 };
  switch (change.kind) {
    case ConfigChangeKind.SetDefaults:
      return Right({ ...next, defaults: change.defaults });
    case ConfigChangeKind.AddException:
      return config.exceptions.some(({ id }) => id === change.exception.id)
        ? Left(`exception "${change.exception.id}" already exists`)
        : Right({ ...next, exceptions: [...config.exceptions, change.exception] });
    case ConfigChangeKind.RemoveException:
      return config.exceptions.some(({ id }) => id === change.exceptionId)
        ? Right({ ...next, exceptions: config.exceptions.filter(({ id }) => id !== change.exceptionId) })
        : Left(`there is no exception "${change.exceptionId}"`);
    case ConfigChangeKind.DrainTarget:
      return Right({ ...next, drains: { ...config.drains, [change.target]: change.drain } });
    case ConfigChangeKind.UndrainTarget: {
      const { [change.target]: drain, ...drains } = config.drains;
      return drain === undefined
        ? Left(`target "${change.target}" is not drained`)
        : Right({ ...next, drains });
    }
  }
}
