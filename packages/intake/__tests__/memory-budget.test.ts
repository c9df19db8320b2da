import * as memoryBudgets from '../src/core/memory-budget';

const TOTAL_BYTES = 12 * 1024 * 1024;
const LARGE_SHARE_BYTES = 11 * 1024 * 1024;
const SMALL_BYTES = 64 * 1024;

describe('the memory budget', () => {
  it('grants what fits and refuses what does not', () => {
    const memory = memoryBudgets.MemoryBudget.create(TOTAL_BYTES);
    const first = memory.tryTake(LARGE_SHARE_BYTES);
    expect(first?.bytes).toBe(LARGE_SHARE_BYTES);
    expect(memory.tryTake(SMALL_BYTES + 1)).toBeUndefined();
    first?.release();
    expect(memory.heldBytes).toBe(0);
    expect(memory.tryTake(LARGE_SHARE_BYTES + 1)).toBeUndefined();
    expect(memory.heldBytes).toBe(0);
  });

  it('keeps a part for small requests', () => {
    const memory = memoryBudgets.MemoryBudget.create(TOTAL_BYTES);
    memory.tryTake(LARGE_SHARE_BYTES);
    const count = (TOTAL_BYTES - LARGE_SHARE_BYTES) / SMALL_BYTES;
    const small = Array.from({ length: count }, () => memory.tryTake(SMALL_BYTES));
    expect(small).not.toContain(undefined);
    expect(memory.tryTake(1)).toBeUndefined();
  });

  it('judges a reservation that grows by all that it holds', () => {
    const memory = memoryBudgets.MemoryBudget.create(TOTAL_BYTES);
    memory.tryTake(LARGE_SHARE_BYTES);
    const growing = memory.open();
    expect(growing.tryGrow(SMALL_BYTES)).toBe(true);
    expect(growing.tryGrow(1)).toBe(false);
  });

  it('counts what is held already, and gives back no more than was taken', () => {
    const memory = memoryBudgets.MemoryBudget.create(TOTAL_BYTES);
    const reservation = memory.open();
    reservation.grow(2 * TOTAL_BYTES);
    expect(memory.tryTake(1)).toBeUndefined();
    reservation.shrink(5 * TOTAL_BYTES);
    reservation.release();
    expect(memory.heldBytes).toBe(0);
  });

  it('takes what is only cached for reservations that fit without it, the oldest first', () => {
    const memory = memoryBudgets.MemoryBudget.create(TOTAL_BYTES);
    const entries = [1, 2, 3].map(() => memory.open());
    entries.forEach((entry) => entry.grow(LARGE_SHARE_BYTES / 3));
    const dropOldest = (): void => entries.shift()?.release();
    const cache = {
      get bytes() {
        return entries.reduce((sum, entry) => sum + entry.bytes, 0);
      },
      dropOldest,
    };
    memory.addCache(cache);
    expect(memory.tryTake(LARGE_SHARE_BYTES + 1)).toBeUndefined();
    expect(entries).toHaveLength(3);
    expect(memory.tryTake(LARGE_SHARE_BYTES / 2)).toBeDefined();
    expect(entries).toHaveLength(1);
  });
});
