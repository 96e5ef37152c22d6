import { Option, fromNullable, map } from 'fp-ts/lib/Option.js';
import type { ServiceName } from '../base/index.js';
import type { Automation, Configuration, ServiceDocument, ServiceLimits } from './Types.js';

function applyPreset(configuration: Configuration, service: ServiceDocument): ServiceLimits {
  const preset = configuration.presets.find(({ name }) => name === configuration.preset);
  const { name, ...limits } = service;
  return { ...limits, ...preset?.services[name] };
}

/** Limits of a service with the overrides of the preset in force; none if there is no such service. */
export function effectiveLimits(
  configuration: Configuration,
  service: ServiceName,
): Option<ServiceLimits> {
  const document = fromNullable(configuration.services.find(({ name }) => name === service));
  return map((found: ServiceDocument) => applyPreset(configuration, found))(document);
}

/** Whether operators have paused an automatic action for a service at this time. */
export function isPaused(
  configuration: Configuration,
  automation: Automation,
  service: ServiceName,
  now: Date,
): boolean {
  return configuration.pauses.some(
    (pause) =>
      pause.automation === automation &&
      (pause.service === undefined || pause.service === service) &&
      Date.parse(pause.expires) > now.getTime(),
  );
}
