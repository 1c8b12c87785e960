package table

import (
	"net/http"
	"time"
)

type keySchema struct {
	AttributeName string
	KeyType       string
}

type attributeDefinition struct {
	AttributeName string
	AttributeType string
}

type createTableInput struct {
	TableName            string
	KeySchema            []keySchema
	AttributeDefinitions []attributeDefinition
	BillingMode          string
}

type tableDescription struct {
	TableName            string
	TableStatus          string
	TableArn             string
	CreationDateTime     float64
	ItemCount            int
	KeySchema            []keySchema
	AttributeDefinitions []attributeDefinition
}

type createTableOutput struct{ TableDescription tableDescription }

type describeTableInput struct{ TableName string }

type describeTableOutput struct{ Table tableDescription }

func (s *Server) createTable(_ *http.Request, in *createTableInput) (*createTableOutput, error) {
	if err := checkSchema(in); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables[in.TableName] != nil {
		return nil, newError("ResourceInUseException", "Table already exists: %s", in.TableName)
	}
	t := newTableStore()
	s.tables[in.TableName] = t
	return &createTableOutput{describe(in.TableName, t)}, nil
}

// checkSchema returns an error unless the keys are the strings pk (HASH) and sk
// (RANGE).
func checkSchema(in *createTableInput) error {
	if in.TableName == "" {
		return validationError("TableName must be set")
	}
	types := make(map[string]string)
	for _, k := range in.KeySchema {
		types[k.AttributeName] = k.KeyType
	}
	if len(in.KeySchema) != 2 || types["pk"] != "HASH" || types["sk"] != "RANGE" {
		return validationError("this stand-in supports the key schema pk HASH, sk RANGE only")
	}
	for _, a := range in.AttributeDefinitions {
		if a.AttributeType != "S" {
			return validationError("this stand-in supports string keys only")
		}
	}
	return nil
}

func (s *Server) describeTable(_ *http.Request, in *describeTableInput) (*describeTableOutput, error) {
	t, err := s.lookupTable(in.TableName)
	if err != nil {
		return nil, newError("ResourceNotFoundException", "Requested resource not found: Table: %s not found", in.TableName)
	}
	return &describeTableOutput{describe(in.TableName, t)}, nil
}

func describe(name string, t *tableStore) tableDescription {
	return tableDescription{
		TableName:        name,
		TableStatus:      "ACTIVE",
		TableArn:         "arn:aws:dynamodb:local:000000000000:table/" + name,
		CreationDateTime: float64(t.created.UnixMilli()) / float64(time.Second/time.Millisecond),
		KeySchema:        []keySchema{{"pk", "HASH"}, {"sk", "RANGE"}},
		AttributeDefinitions: []attributeDefinition{
			{"pk", "S"}, {"sk", "S"},
		},
	}
}
