/** Checks presets before they are put in force. */
import type { ConfigurationContent, ServiceLimits } from '../common/configuration/Types.js';
import type { ExpectedCapacity } from './ConfigurationFile.js';
import type { PropertyChange } from './configurationDiff.js';

/** Problem that an operator should know before switching to a preset. */
export interface Warning {
  /** Document that it concerns, such as `preset peak, service pujas`. */
  readonly subject: string;
  readonly message: string;
}

const msPerSecond = 1_000;

/** Limits of each service under a preset, which overrides those of the service. */
export function effectiveLimits(
  content: ConfigurationContent,
  preset: string,
): ReadonlyMap<string, ServiceLimits> {
  const overrides = content.presets.find(({ name }) => name === preset)?.services ?? {};
  return new Map(
    content.services.map(({ name, ...limits }) => [name, { ...limits, ...overrides[name] }]),
  );
}

function checkFloor(floor: number, { targets, slots }: ExpectedCapacity): string[] {
  const total = targets * slots;
  if (floor > total) {
    return [`the floor of ${floor} slots cannot hold: the service has ${total} slots`];
  }
  if (floor > total - slots) {
    return [
      `no target can ever be ejected: the floor of ${floor} slots leaves ${total - floor} of ${total} slots, a target has ${slots}`,
    ];
  }
  return floor === 0 ? ['a floor of 0 slots lets ejection remove every target of the service'] : [];
}

function checkRate(limits: ServiceLimits, capacity: ExpectedCapacity): string[] {
  if (capacity.serviceTime === undefined || limits.rate === 0) return [];
  const maxServedRate = (capacity.targets * capacity.slots * msPerSecond) / capacity.serviceTime;
  if (limits.rate <= maxServedRate) return [];
  return [
    `the limit of ${limits.rate} requests/s is above the ${Math.floor(maxServedRate)} requests/s that the slots serve`,
  ];
}

function checkQueue(limits: ServiceLimits, capacity: ExpectedCapacity): string[] {
  if (capacity.serviceTime === undefined) return [];
  const longestWait = (limits.maxQueue * capacity.serviceTime) / capacity.slots;
  if (longestWait <= limits.timeout) return [];
  return [
    `the last of ${limits.maxQueue} waiting requests starts after ${Math.round(longestWait)} ms, its timeout is ${limits.timeout} ms`,
  ];
}

function checkLimits(
  subject: string,
  limits: ServiceLimits,
  capacity: ExpectedCapacity | undefined,
): Warning[] {
  const messages =
    capacity === undefined
      ? ['its capacity is not known, so its limits were not checked']
      : [
          ...checkFloor(limits.floor, capacity),
          ...checkRate(limits, capacity),
          ...checkQueue(limits, capacity),
        ];
  return messages.map((message) => ({ subject, message }));
}

function checkReferences(content: ConfigurationContent): Warning[] {
  const services = new Set<string>(content.services.map(({ name }) => name));
  const routed = new Set<string>(content.routes.map(({ service }) => service));
  const servicesWithoutRoute = [...services]
    .filter((name) => !routed.has(name))
    .map((name) => ({ subject: `service ${name}`, message: 'no route leads to it' }));
  const danglingRoutes = content.routes
    .filter(({ service }) => !services.has(service))
    .map(({ name, service }) => ({
      subject: `route ${name}`,
      message: `there is no service ${service}`,
    }));
  const danglingLimits = content.presets.flatMap(({ name, services: limits }) =>
    Object.keys(limits)
      .filter((service) => !services.has(service))
      .map((service) => ({
        subject: `preset ${name}`,
        message: `there is no service ${service}`,
      })),
  );
  return [...servicesWithoutRoute, ...danglingRoutes, ...danglingLimits];
}

/** Warns about limits of the given presets, services without a route, and references to missing services. */
export function checkPresets(
  content: ConfigurationContent,
  presets: readonly string[],
  capacities: ReadonlyMap<string, ExpectedCapacity>,
): Warning[] {
  const limits = presets.flatMap((preset) =>
    [...effectiveLimits(content, preset)].flatMap(([service, values]) =>
      checkLimits(`preset ${preset}, service ${service}`, values, capacities.get(service)),
    ),
  );
  return [...checkReferences(content), ...limits];
}

/** Limits of the services that differ between two presets. */
export function compareLimits(
  content: ConfigurationContent,
  from: string,
  to: string,
): PropertyChange[] {
  const [before, after] = [effectiveLimits(content, from), effectiveLimits(content, to)];
  return [...after].flatMap(([service, limits]) =>
    (Object.keys(limits) as (keyof ServiceLimits)[])
      .filter((limit) => before.get(service)?.[limit] !== limits[limit])
      .map((limit) => ({
        property: `${service}.${limit}`,
        before: before.get(service)?.[limit],
        after: limits[limit],
      })),
  );
}
