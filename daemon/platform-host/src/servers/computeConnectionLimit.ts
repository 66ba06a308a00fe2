// How many connections one host may have to a server: an even share of those that the server accepts from all hosts together.

/** The rest is for connections whose end the server has not seen yet, and for hosts that this one does not know yet. */
const usableRatio = 0.9
/** With so many hosts that their shares are small, they are not all busy with the same server. */
const minimumConnections = 8

/** Returns the limit of one of `hosts` hosts. */
export function computeConnectionLimit (maximumConnections: number, hosts: number): number {
  return Math.max(Math.min(minimumConnections, maximumConnections), Math.floor(maximumConnections * usableRatio / Math.max(1, hosts)))
}
