// KDL 2.0, after the public specification of the language. What this grammar cannot express (a multi-line string's
// indent, numbers out of range, which escapes are right) is checked by KdlReader, with the same positions.
grammar Kdl;

document: VERSION? (NEWLINE | SEMI)* nodes EOF ;

nodes: (statement (NEWLINE | SEMI)*)* ;

statement: SLASHDASH gap node end? | node end? ;

// A node ends with its line, at a semicolon, at the end of its block or of the text.
end: NEWLINE | SEMI ;

gap: NEWLINE* ;

node: type? name=string entry* block? ;

entry: SLASHDASH gap (property | argument | block)
     | property
     | argument
     ;

property: key=string EQUALS value ;

argument: value ;

value: type? (string | number | keyword) ;

type: OPEN string CLOSE ;

string: QUOTED | RAW | MULTI | RAW_MULTI | WORD ;

number: NUMBER | HEX | OCTAL | BINARY ;

keyword: KEYWORD ;

block: LEFT (NEWLINE | SEMI)* nodes RIGHT ;

VERSION: '\uFEFF'? '/-' SPACE* 'kdl-version' SPACE+ [12] SPACE* ('\r\n' | [\r\n\u0085\u000B\u000C\u2028\u2029]) ;
SLASHDASH: '/-' ;
OPEN: '(' ;
CLOSE: ')' ;
LEFT: '{' ;
RIGHT: '}' ;
EQUALS: '=' ;
SEMI: ';' ;

KEYWORD: '#true' | '#false' | '#null' | '#inf' | '#-inf' | '#nan' ;

HEX: SIGN? '0x' [0-9a-fA-F] [0-9a-fA-F_]* ;
OCTAL: SIGN? '0o' [0-7] [0-7_]* ;
BINARY: SIGN? '0b' [01] [01_]* ;
NUMBER: SIGN? DIGITS ('.' DIGITS)? ([eE] SIGN? DIGITS)? ;
fragment SIGN: [+-] ;
fragment DIGITS: [0-9] [0-9_]* ;

MULTI: '"""' NL (ESCAPED | ~["\\] | '"' ~["\\] | '""' ~["\\])*? '"""' ;
QUOTED: '"' (ESCAPED | ~["\\\r\n\u0085\u000B\u000C\u2028\u2029])* '"' ;
fragment ESCAPED: '\\' (BLANK+ | .) ;
fragment BLANK: SPACE | NL ;
fragment NL: '\r\n' | [\r\n\u0085\u000B\u000C\u2028\u2029] ;

// A raw string ends with as many # signs as it starts with; the recursive rule matches them in pairs.
RAW_MULTI: '#' RAW_MULTI_BODY '#' ;
fragment RAW_MULTI_BODY: '#' RAW_MULTI_BODY '#' | '"""' NL .*? '"""' ;
RAW: '#' RAW_BODY '#' ;
fragment RAW_BODY: '#' RAW_BODY '#' | '"' ~[\r\n\u0085\u000B\u000C\u2028\u2029]*? '"' ;

// An unquoted name does not begin with a digit, nor with a sign or a point followed by a digit.
WORD: ([+-] | [+-]? '.' | [+-]? '.'? WORD_START PART* | [+-] '.'? PART_AFTER_SIGN PART*) ;
fragment PART_AFTER_SIGN: [+-] | WORD_START ;
fragment WORD_START: ~[ \t\u00A0\u1680\u2000-\u200A\u202F\u205F\u3000\uFEFF\r\n\u0085\u000B\u000C\u2028\u2029\\/(){}[\];"#=0-9+.\-\u0000-\u0008\u000E-\u001F\u007F\u200E\u200F\u202A-\u202E\u2066-\u2069] ;
fragment PART: ~[ \t\u00A0\u1680\u2000-\u200A\u202F\u205F\u3000\uFEFF\r\n\u0085\u000B\u000C\u2028\u2029\\/(){}[\];"#=\u0000-\u0008\u000E-\u001F\u007F\u200E\u200F\u202A-\u202E\u2066-\u2069] ;

fragment SPACE: [ \t\u00A0\u1680\u2000-\u200A\u202F\u205F\u3000\uFEFF] ;

NEWLINE: NL ;
SPACES: SPACE+ -> skip ;
CONTINUED: '\\' SPACE* ('//' ~[\r\n\u0085\u000B\u000C\u2028\u2029]*)? (NL | EOF) -> skip ;
LINE_COMMENT: '//' ~[\r\n\u0085\u000B\u000C\u2028\u2029]* -> skip ;
BLOCK_COMMENT: '/*' (BLOCK_COMMENT | .)*? '*/' -> skip ;

STRAY: . ;
