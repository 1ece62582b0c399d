import type { Route } from "./Route";
import type { RouteDocument } from "./RouteDocument";

/** Returns why a document is invalid, or null if it is valid. */
export function findDocumentError(document: RouteDocument): string | null {
  const services = new Set(document.services.map(({ name }) => name));
  if (services.size !== document.services.length) {
    return "two services share a name";
  }
  return findRouteError(document.routes, services) ?? findKeyError(document);
}

function findRouteError(routes: readonly Route[], services: ReadonlySet<string>): string | null {
  const namesByPrefix = new Map<string, string>();
  for (const { name, host, pathPrefix, split, timeoutMs, attempts } of routes) {
    const unknown = split.find(({ service }) => !services.has(service));
    if (unknown !== undefined) {
      return `route "${name}" names the unknown service "${unknown.service}"`;
    }
    if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
      return `path prefix "${pathPrefix}" of route "${name}" must begin and end with a slash`;
    }
    if (split.some(({ weight }) => weight < 0) || split.reduce((sum, { weight }) => sum + weight, 0) <= 0) {
      return `weights of route "${name}" must not be negative and must add up to more than 0`;
    }
    if (timeoutMs <= 0 || attempts < 1) {
      return `timeout and attempts of route "${name}" must be more than 0`;
    }
    const prefixKey = `${host.toLowerCase()} ${pathPrefix}`;
    const other = namesByPrefix.get(prefixKey);
    if (other !== undefined) {
      return `routes "${other}" and "${name}" share host "${host}" and path prefix "${pathPrefix}"`;
    }
    namesByPrefix.set(prefixKey, name);
  }
  return null;
}

function findKeyError({ teams }: RouteDocument): string | null {
  const owners = new Map<string, string>();
  for (const { name, keys } of teams ?? []) {
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        return `teams "${owner}" and "${name}" share a key`;
      }
      owners.set(key, name);
    }
  }
  return null;
}
