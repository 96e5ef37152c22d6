import { Counter, Gauge, type Registry } from 'prom-client';
import { metricNames, stateCatalogue } from '../common/ejection/StateCatalogue.js';
import type { EjectionRefusal, TargetStatus, Transition } from '../common/ejection/Types.js';

/** Metrics of the target states of this home. */
export class EjectionMetrics {
  private readonly transitions: Counter;

  private readonly refusals: Counter;

  /** `statuses` is called at each collection of the metrics. */
  public constructor(registry: Registry, statuses: () => readonly TargetStatus[]) {
    const registers = [registry];
    this.transitions = new Counter({
      name: metricNames.transitions,
      help: 'Changes of target states by service, state before and after, and cause',
      labelNames: ['service', 'from', 'to', 'cause'],
      registers,
    });
    this.refusals = new Counter({
      name: metricNames.refusals,
      help: 'Sick targets that stayed in service by service and reason',
      labelNames: ['service', 'refusal'],
      registers,
    });
    const states: Gauge = new Gauge({
      name: metricNames.states,
      help: 'Targets of this home by service and state',
      labelNames: ['service', 'state'],
      registers,
      collect: (): void => EjectionMetrics.collect(states, statuses()),
    });
  }

  /** Counts a state change; a change of share alone is not counted. */
  public recordTransition({ service, from, to, cause }: Transition): void {
    if (from !== to) this.transitions.inc({ service, from, to, cause });
  }

  /** Counts an ejection that was refused. */
  public recordRefusal({ service, refusal }: EjectionRefusal): void {
    this.refusals.inc({ service, refusal });
  }

  private static collect(states: Gauge, statuses: readonly TargetStatus[]): void {
    states.reset();
    const services = new Set(statuses.map(({ service }) => service));
    // Zeros are written too, so that the series of a state does not end when no target is in it.
    services.forEach((service) =>
      stateCatalogue.forEach(({ state }) => states.set({ service, state }, 0)),
    );
    statuses.forEach(({ service, state }) => states.inc({ service, state }));
  }
}
