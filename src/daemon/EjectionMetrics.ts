import { Counter, Gauge, type Registry } from 'prom-client';
import { metricNames, stateCatalogue } from '../common/ejection/StateCatalogue.js';
import type { EjectionRefusal, TargetStatus, Transition } from '../common/ejection/Types.js';

/** Metrics of the target states of this home. */
export class EjectionMetrics {
  private readonly transitions: Counter;

  private readonly refusals: Counter;

  /** `standings` is read whenever the metrics are collected. */
  public constructor(registry: Registry, standings: () => readonly TargetStatus[]) {
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
      collect: (): void => EjectionMetrics.collect(states, standings()),
    });
  }

  /** Counts a change of state; a change of share alone is not one. */
  public recordTransition({ service, from, to, cause }: Transition): void {
    if (from !== to) this.transitions.inc({ service, from, to, cause });
  }

  /** Counts a refusal. */
  public recordRefusal({ service, refusal }: EjectionRefusal): void {
    this.refusals.inc({ service, refusal });
  }

  private static collect(states: Gauge, standings: readonly TargetStatus[]): void {
    states.reset();
    const services = new Set(standings.map(({ service }) => service));
    // Zeros are written too, so that a state that was left does not disappear from graphs.
    services.forEach((service) =>
      stateCatalogue.forEach(({ state }) => states.set({ service, state }, 0)),
    );
    standings.forEach(({ service, state }) => states.inc({ service, state }));
  }
}
