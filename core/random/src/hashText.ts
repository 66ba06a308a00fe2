// Non-cryptographic hashes of texts, for distribution and comparison.

/**
 * Computes a 32-bit hash: FNV-1a with the finalizer of MurmurHash3. Without the finalizer, texts that differ only in
 * the last digit get similar values.
 */
export function hashText (text: string, seed: number): number {
  return finalizeHash(Array.from(text).reduce((hash, character) => Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x0100_0193), 0x811c_9dc5 ^ seed))
}

function finalizeHash (mixed: number): number {
  const first = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b)
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2_ae35)
  return (second ^ (second >>> 16)) >>> 0
}

/** Computes a 64-bit digest by which two parties can check whether they have the same text. */
export function digestText (text: string): string {
  return [0, 0x9e37_79b9].map(seed => hashText(text, seed).toString(16).padStart(8, '0')).join('')
}

/** Computes a 64-bit digest of bytes, like `digestText`. */
export function digestBytes (bytes: Uint8Array): string {
  return [0, 0x9e37_79b9].map(seed => finalizeHash(bytes.reduce((hash, byte) => Math.imul(hash ^ byte, 0x0100_0193), 0x811c_9dc5 ^ seed)).toString(16).padStart(8, '0')).join('')
}
