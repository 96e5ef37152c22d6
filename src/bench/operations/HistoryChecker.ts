import type { HistoryEvent, Violation } from './Types.js';

type Sent = Extract<HistoryEvent, { type: 'sent' }>;
type Started = Extract<HistoryEvent, { type: 'started' }>;
type Answered = Extract<HistoryEvent, { type: 'answered' }>;

/**
 * Checks histories of keyed operations. An operation starts at most once per key. The outcome `not-run` is false if the
 * operation had started before the request was sent, or if the request itself started it at any time. A `done` answer
 * carries the content that was sent in the same attempt.
 */
export class HistoryChecker {
  private readonly events: HistoryEvent[] = [];

  /** Number of events. */
  public get length(): number {
    return this.events.length;
  }

  /** Adds an event; events must be added in chronological order. */
  public add(event: HistoryEvent): void {
    this.events.push(event);
  }

  /** Number of answers with an outcome. */
  public count(outcome: string): number {
    return this.events.filter((event) => event.type === 'answered' && event.outcome === outcome)
      .length;
  }

  /** Returns all violations of the rules. */
  public check(): readonly Violation[] {
    const groups = new Map<string, HistoryEvent[]>();
    this.events.forEach((event) => {
      const group = groups.get(event.key) ?? [];
      group.push(event);
      groups.set(event.key, group);
    });
    return [...groups].flatMap(([key, events]) => HistoryChecker.checkKey(key, events));
  }

  private static checkKey(key: string, events: readonly HistoryEvent[]): Violation[] {
    const started = events.filter((event): event is Started => event.type === 'started');
    const answered = events.filter((event): event is Answered => event.type === 'answered');
    const violations: Violation[] = [];
    if (started.length > 1) violations.push({ rule: 'started-twice', key, events: started });
    answered.forEach((answer) => {
      const sent = events.find(
        (event): event is Sent => event.type === 'sent' && event.attempt === answer.attempt,
      );
      const contradiction = started.find((start) =>
        HistoryChecker.contradicts(start, answer, sent),
      );
      if (contradiction !== undefined) {
        violations.push({ rule: 'false-not-run', key, events: [contradiction, answer] });
      }
      const isExpected = answer.outcome !== 'done' || answer.content === sent?.content;
      if (!isExpected || sent === undefined) {
        violations.push({ rule: 'wrong-answer', key, events: [answer] });
      }
    });
    return violations;
  }

  private static contradicts(start: Started, answer: Answered, sent: Sent | undefined): boolean {
    if (answer.outcome !== 'not-run') return false;
    return start.attempt === answer.attempt || (sent !== undefined && start.at < sent.at);
  }
}
