// Hashes of texts for spreading and comparing. They are not meant to withstand an adversary.

/** A hash of 32 bits: FNV-1a, then the finalizer of MurmurHash3, without which texts that differ in the last digit get close values. */
export function hashText (text: string, seed: number): number {
  const mixed = Array.from(text).reduce((hash, character) => Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x0100_0193), 0x811c_9dc5 ^ seed)
  const first = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b)
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2_ae35)
  return (second ^ (second >>> 16)) >>> 0
}

/** A digest of 64 bits for telling whether two parties have the same text. */
export function digestText (text: string): string {
  return [0, 0x9e37_79b9].map(seed => hashText(text, seed).toString(16).padStart(8, '0')).join('')
}
