import { Either, left, right } from 'fp-ts/lib/Either.js';
import { documentKey, documentKinds } from './ConfigurationCodec.js';
import type { DocumentKind } from './ConfigurationCodec.js';
import type {
  ConfigurationContent,
  PauseDocument,
  PresetDocument,
  RouteDocument,
  ServiceLimits,
} from './Types.js';

/** Maximum share of retries among an entry's requests (docs/design.md 5.6). */
const maxRetryShare = 0.1;

const workClasses: readonly string[] = ['critical', 'interactive', 'bulk'];
const automations: readonly string[] = ['ejection', 'hedging', 'retries', 'cross-region'];
const holdActions: readonly string[] = ['eject', 'drain'];
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._@-]{0,127}$/;
const methodPattern = /^[A-Z]+$/;
const hostPattern = /^[a-z0-9.-]+$/;

interface Bounds {
  readonly allowed: string;
  readonly isAllowed: (value: number) => boolean;
}

const count: Bounds = {
  allowed: 'a whole number, 0 or more',
  isAllowed: (value) => Number.isSafeInteger(value) && value >= 0,
};
const rate: Bounds = {
  allowed: 'a number, 0 or more',
  isAllowed: (value) => Number.isFinite(value) && value >= 0,
};
const duration: Bounds = {
  allowed: 'a whole number of milliseconds from 1 to 3600000',
  isAllowed: (value) => Number.isSafeInteger(value) && value >= 1 && value <= 3600000,
};
const share: Bounds = {
  allowed: `a number from 0 to ${maxRetryShare}`,
  isAllowed: (value) => value >= 0 && value <= maxRetryShare,
};

const limitBounds: Readonly<Record<keyof ServiceLimits, Bounds>> = {
  floor: count,
  maxQueue: count,
  timeout: duration,
  rate,
  retryShare: share,
  crossRegionRate: rate,
};

/** Collects problems, each with the document and field that it concerns. */
class ProblemList {
  public readonly problems: string[] = [];

  public check(isValid: boolean, place: string, allowed: string): void {
    if (!isValid) this.problems.push(`${place}: must be ${allowed}`);
  }

  public checkNumber(value: unknown, place: string, { allowed, isAllowed }: Bounds): void {
    this.check(typeof value === 'number' && isAllowed(value), place, allowed);
  }
}

type Problems = ProblemList;

function checkNames(content: ConfigurationContent, kind: DocumentKind, list: Problems): void {
  const keys = content[kind].map((document) => String(documentKey(document)));
  const seen = new Set<string>();
  keys.forEach((key) => {
    list.check(!seen.has(key), `${kind} "${key}"`, 'defined once');
    seen.add(key);
    if (kind === 'pauses') return;
    list.check(namePattern.test(key), `${kind} "${key}"`, 'a name of letters, digits and ._@-');
  });
}

function checkLimits(limits: Partial<ServiceLimits>, place: string, list: Problems): void {
  Object.entries(limits).forEach(([name, value]) => {
    if (name === 'name') return;
    const bounds = limitBounds[name as keyof ServiceLimits] as Bounds | undefined;
    if (bounds !== undefined) list.checkNumber(value, `${place}, ${name}`, bounds);
    else list.check(false, `${place}, ${name}`, `one of ${Object.keys(limitBounds).join(', ')}`);
  });
}

function checkServices({ services }: ConfigurationContent, list: Problems): void {
  services.forEach((service) => {
    const place = `service "${service.name}"`;
    checkLimits(service, place, list);
    Object.keys(limitBounds).forEach((name) => {
      list.check(name in service, `${place}, ${name}`, 'given');
    });
  });
}

function checkRoute(route: RouteDocument, services: ReadonlySet<string>, list: Problems): void {
  const place = `route "${route.name}"`;
  list.check(services.has(route.service), `${place}, service`, 'the name of a service');
  list.check(/^\/[^\s?#]*$/.test(route.path), `${place}, path`, 'a path that starts with /');
  list.check(
    workClasses.includes(route.workClass),
    `${place}, workClass`,
    workClasses.join(' or '),
  );
  const { host, methods, timeout, isIdempotent } = route;
  list.check(host === undefined || hostPattern.test(host), `${place}, host`, 'a lower-case host');
  const areMethodsValid =
    methods === undefined || methods.every((method) => methodPattern.test(method));
  list.check(areMethodsValid, `${place}, methods`, 'upper-case method names');
  const isFlagValid = isIdempotent === undefined || typeof isIdempotent === 'boolean';
  list.check(isFlagValid, `${place}, isIdempotent`, 'true or false');
  if (timeout !== undefined) list.checkNumber(timeout, `${place}, timeout`, duration);
}

function matchKeysOf({ host, path, methods }: RouteDocument): string[] {
  return (methods ?? ['*']).map((method) => `${method} ${host ?? '*'}${path}`);
}

function checkRoutes({ routes }: ConfigurationContent, names: ReadonlySet<string>, list: Problems) {
  const owners = new Map<string, string>();
  routes.forEach((route) => {
    checkRoute(route, names, list);
    matchKeysOf(route).forEach((key) => {
      const owner = owners.get(key);
      const place = `route "${route.name}"`;
      list.check(owner === undefined, place, `different from route "${owner}", which takes ${key}`);
      owners.set(key, route.name);
    });
  });
}

function checkPreset(preset: PresetDocument, services: ReadonlySet<string>, list: Problems): void {
  Object.entries(preset.services).forEach(([service, limits]) => {
    const place = `preset "${preset.name}", service "${service}"`;
    list.check(services.has(service), place, 'the name of a service');
    checkLimits(limits, place, list);
  });
}

function checkPause(pause: PauseDocument, services: ReadonlySet<string>, list: Problems): void {
  const place = `pause of "${pause.automation}"`;
  list.check(automations.includes(pause.automation), place, `one of ${automations.join(', ')}`);
  const isKnown = pause.service === undefined || services.has(pause.service);
  list.check(isKnown, `${place}, service`, 'the name of a service');
  const isTimeValid = !Number.isNaN(Date.parse(pause.expires));
  list.check(isTimeValid, `${place}, expires`, 'an ISO 8601 time');
}

/** Checks all documents and the preset in force. Returns all problems at once. */
export function validateConfiguration(
  content: ConfigurationContent,
): Either<readonly string[], ConfigurationContent> {
  const list = new ProblemList();
  const services = new Set<string>(content.services.map(({ name }) => name));
  documentKinds.forEach((kind) => checkNames(content, kind, list));
  checkServices(content, list);
  checkRoutes(content, services, list);
  content.accounts.forEach(({ id, rate: limit }) =>
    list.checkNumber(limit, `account "${id}", rate`, rate),
  );
  content.presets.forEach((preset) => checkPreset(preset, services, list));
  content.pauses.forEach((pause) => checkPause(pause, services, list));
  content.holds.forEach(({ target, action }) =>
    list.check(holdActions.includes(action), `hold of "${target}"`, holdActions.join(' or ')),
  );
  const isPresetKnown = content.presets.some(({ name }) => name === content.preset);
  list.check(isPresetKnown, `preset in force "${content.preset}"`, 'the name of a preset');
  return list.problems.length > 0 ? left(list.problems) : right(content);
}
