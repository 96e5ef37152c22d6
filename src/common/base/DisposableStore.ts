import type { Disposable } from './Types.js';

/** Owns several disposables and releases them together, last added first. */
export class DisposableStore implements Disposable {
  private items: Disposable[] = [];

  private isDisposed = false;

  /** Adds an item; one added after disposal is released at once. */
  public add<Item extends Disposable>(item: Item): Item {
    if (this.isDisposed) item.dispose();
    else this.items.push(item);
    return item;
  }

  public dispose(): void {
    this.isDisposed = true;
    const { items } = this;
    this.items = [];
    items.reverse().forEach((item) => item.dispose());
  }
}
