import type { WorkClass } from '../services/Types.js';

/** Priority of each class; 0 is served first. */
export const classRank: Readonly<Record<WorkClass, number>> = {
  critical: 0,
  interactive: 1,
  bulk: 2,
};

/** Properties by which a queue orders its items. */
export interface QueueItem {
  readonly workClass: WorkClass;
  /** Time on the monotonic clock in milliseconds. */
  readonly deadline: number;
}

function goesBefore(left: QueueItem, right: QueueItem): boolean {
  const difference = classRank[left.workClass] - classRank[right.workClass];
  return difference === 0 ? left.deadline < right.deadline : difference < 0;
}

/** Queue ordered by class, then by deadline. Equal items keep the order of arrival. */
export class WaitingQueue<Item extends QueueItem> {
  private items: Item[] = [];

  public get size(): number {
    return this.items.length;
  }

  /** All items in queue order. */
  public get all(): readonly Item[] {
    return this.items;
  }

  /** Inserts an item after those that go before it or are equal to it. */
  public add(item: Item): void {
    this.items.splice(this.position(item), 0, item);
  }

  /** Items that go before `item` or are equal to it. */
  public ahead(item: QueueItem): readonly Item[] {
    return this.items.slice(0, this.position(item));
  }

  /** Removes an item; returns false if it is not in the queue. */
  public remove(item: Item): boolean {
    const index = this.items.indexOf(item);
    if (index >= 0) this.items.splice(index, 1);
    return index >= 0;
  }

  /** Removes and returns all items for which `matches` holds, in queue order. */
  public takeAll(matches: (item: Item) => boolean): readonly Item[] {
    const taken = this.items.filter(matches);
    if (taken.length > 0) this.items = this.items.filter((item) => !matches(item));
    return taken;
  }

  public count(workClass: WorkClass): number {
    return this.items.filter((item) => item.workClass === workClass).length;
  }

  /** Last item of a class. */
  public lastOf(workClass: WorkClass): Item | undefined {
    return this.items.findLast((item) => item.workClass === workClass);
  }

  private position(item: QueueItem): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.items[middle];
      if (other !== undefined && goesBefore(item, other)) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}
