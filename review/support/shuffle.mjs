/**
 * @param items - any items
 * @returns the items in a random order
 */
export default function shuffle(items) {
  return items.map((item) => ({ item, rank: Math.random() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ item }) => item);
}
