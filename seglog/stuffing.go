package seglog

import "bytes"

// Records are stored with byte stuffing: the pair of bytes stuffedPair does not occur in a stuffed record, whatever the record holds. The
// record is cut at each occurrence of the pair, and each piece is stored behind its length, two digits of base lengthRadix, which
// contain neither byte of the pair. A piece of maxPiece bytes ends without a pair. (Cheshire and Baker, "Consistent Overhead Byte
// Stuffing", with a pair in place of a single byte, so that the overhead is two bytes for each maxPiece bytes.)
const (
	pairFirst   = 0xFE
	pairSecond  = 0xFD
	lengthRadix = 0xFD                        // digits are below both bytes of the pair
	lengthSize  = 2                           // bytes of a piece's length
	maxPiece    = lengthRadix*lengthRadix - 1 // largest piece, in bytes
)

var stuffedPair = []byte{pairFirst, pairSecond}

// stuffedSize returns the largest size of n bytes after stuffing.
func stuffedSize(n int) int { return n + lengthSize + lengthSize*(n/maxPiece) }

// putDigits writes n as count digits of base lengthRadix, the lowest first.
func putDigits(b []byte, count, n int) {
	for i := range count {
		b[i] = byte(n % lengthRadix)
		n /= lengthRadix
	}
}

// digits reads a number of count digits. It does not check that they are below lengthRadix.
func digits(b []byte, count int) int {
	n := 0
	for i := count - 1; i >= 0; i-- {
		n = n*lengthRadix + int(b[i])
	}
	return n
}

// isOnePiece reports whether stuffing only puts one length before b.
func isOnePiece(b []byte) bool { return len(b) < maxPiece && !bytes.Contains(b, stuffedPair) }

// appendStuffed appends src to dst, stuffed.
func appendStuffed(dst, src []byte) []byte {
	for {
		window := src[:min(len(src), maxPiece+1)] // a pair that starts within the largest piece ends in it
		piece := bytes.Index(window, stuffedPair)
		if piece < 0 {
			piece = min(len(src), maxPiece)
		}
		dst = append(dst, make([]byte, lengthSize)...)
		putDigits(dst[len(dst)-lengthSize:], lengthSize, piece)
		dst = append(dst, src[:piece]...)
		src = src[piece:]
		switch {
		case piece == maxPiece:
		case len(src) == 0:
			return dst
		default:
			src = src[len(stuffedPair):]
		}
	}
}

// appendUnstuffed appends to dst the bytes that src is the stuffed form of, and reports whether it is one.
func appendUnstuffed(dst, src []byte) ([]byte, bool) {
	for {
		if len(src) < lengthSize || src[0] >= lengthRadix || src[1] >= lengthRadix {
			return dst, false
		}
		piece := digits(src, lengthSize)
		src = src[lengthSize:]
		if piece > len(src) {
			return dst, false
		}
		dst = append(dst, src[:piece]...)
		src = src[piece:]
		switch {
		case piece == maxPiece:
		case len(src) == 0:
			return dst, true
		default:
			dst = append(dst, stuffedPair...)
		}
	}
}
